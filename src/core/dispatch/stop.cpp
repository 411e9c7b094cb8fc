#include "core/dispatch/stop.hpp"

#include "core/dispatch/catalog.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto retire_after = milliseconds{3'000};   ///< From the stop order.
constexpr auto stop_check = milliseconds{50};        ///< Between looks.
constexpr auto grace_margin = milliseconds{300};     ///< Left of the grace.
constexpr auto closing_before = milliseconds{1'000}; ///< The exit.
constexpr auto quiet_time = milliseconds{300};       ///< Before leaving.

/// From the stop order until callers' connections are closed.
auto retire_time(dispatch_state const& s) -> duration
{
    auto const last = duration{s.init.bounds.grace} - duration{grace_margin};
    return std::min(duration{retire_after}, last - duration{quiet_time});
}

} // namespace

auto update_ready(dispatch_state& s, commands& out) -> void
{
    auto const ready = knows_enough(s) && !s.stop.asked;
    if (ready == s.ready)
        return;
    s.ready = ready;
    out.push_back(set_ready{ready});
    out.push_back(report_fact{readiness_changed{
        ready, s.stop.asked ? "stopping" : "store followed"}});
}

auto leave_time(dispatch_state const& s) -> time_point
{
    if (!s.stop.asked)
        return time_point::max();
    return s.stop.since + s.init.bounds.grace - grace_margin;
}

auto is_closing(dispatch_state const& s, time_point now) -> bool
{
    return s.stop.asked && now >= leave_time(s) - closing_before;
}

auto on_stop(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.stop.asked)
        return;
    s.stop = stopping{true, now, false, false};
    update_ready(s, out);
    out.push_back(store_delete_record{s.init.self.name});
    arm(s, now + stop_check, stop_due{});
}

auto on_stop_due(dispatch_state& s, time_point now, commands& out) -> void
{
    if (now - s.stop.since >= retire_time(s) && !s.stop.retired)
    {
        s.stop.retired = true;
        out.push_back(drain_callers{});
    }
    arm(s, now + stop_check, stop_due{});
}

auto leave_if_quiet(dispatch_state& s, time_point now, commands& out) -> void
{
    if (!s.stop.retired || s.stop.left)
        return;
    auto const quiet =
        s.requests.empty() &&
        now - std::max(s.last_request, s.stop.since + retire_time(s)) >=
            duration{quiet_time};
    if (!quiet && now < leave_time(s))
        return;
    s.stop.left = true;
    out.push_back(exit_now{});
}

} // namespace knapweedstream::dispatch
