#include "core/dispatch/stop.hpp"

#include "core/dispatch/catalog.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Time from the stop request until callers' connections are closed.
constexpr auto drain_callers_after = milliseconds{3'000};
constexpr auto stop_check_interval = milliseconds{50};
/// Unused end of the grace period before SIGKILL.
constexpr auto grace_margin = milliseconds{300};
/// Time before the exit deadline from which new requests are refused.
constexpr auto refuse_before_exit = milliseconds{1'000};
/// Time without a request before the exit.
constexpr auto idle_before_exit = milliseconds{300};

/// Time from the stop request until callers' connections are closed; shorter if
/// the grace period requires it.
auto caller_drain_delay(dispatch_state const& s) -> duration
{
    auto const last = duration{s.init.bounds.grace} - duration{grace_margin};
    return std::min(
        duration{drain_callers_after}, last - duration{idle_before_exit});
}

/// Deletes what this instance has written to the store.
auto delete_own_objects(dispatch_state& s, commands& out) -> void
{
    s.stop.deleted_in = s.contact.era;
    out.push_back(store_delete_record{s.init.self.name});
    if (s.own_report.exists)
        out.push_back(store_delete_report{s.init.self.name});
}

} // namespace

auto update_ready(dispatch_state& s, commands& out) -> void
{
    auto const ready = has_initial_data(s) && !s.stop.requested;
    if (ready == s.ready)
        return;
    s.ready = ready;
    out.push_back(set_ready{ready});
    out.push_back(report_fact{readiness_changed{ready,
        s.stop.requested ? "stopping"
                         : "configuration and targets read from the store"}});
}

auto exit_deadline(dispatch_state const& s) -> time_point
{
    if (!s.stop.requested)
        return time_point::max();
    return s.stop.since + s.init.bounds.grace - grace_margin;
}

auto is_closing(dispatch_state const& s, time_point now) -> bool
{
    return s.stop.requested && now >= exit_deadline(s) - refuse_before_exit;
}

auto on_stop(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.stop.requested)
        return;
    s.stop = stop_progress{true, now, false, false};
    update_ready(s, out);
    delete_own_objects(s, out);
    arm(s, now + stop_check_interval, stop_due{});
}

/// A store that came back from an older copy may have the deleted objects
/// again.
auto on_stop_due(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.stop.deleted_in != s.contact.era)
        delete_own_objects(s, out);
    if (now - s.stop.since >= caller_drain_delay(s) && !s.stop.callers_draining)
    {
        s.stop.callers_draining = true;
        out.push_back(drain_callers{});
    }
    arm(s, now + stop_check_interval, stop_due{});
}

auto exit_if_idle(dispatch_state& s, time_point now, commands& out) -> void
{
    if (!s.stop.callers_draining || s.stop.exit_ordered)
        return;
    auto const quiet =
        s.requests.empty() &&
        now - std::max(s.last_request, s.stop.since + caller_drain_delay(s)) >=
            duration{idle_before_exit};
    if (!quiet && now < exit_deadline(s))
        return;
    s.stop.exit_ordered = true;
    out.push_back(exit_now{});
}

} // namespace knapweedstream::dispatch
