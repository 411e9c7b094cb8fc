#include "core/dispatch/reports.hpp"

#include "core/dispatch/eras.hpp"
#include "core/dispatch/version_evidence.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Time until a report whose write failed is written again.
constexpr auto rewrite_after = milliseconds{1'500};
/// Age above which crashes that another instance reports are ignored.
constexpr auto max_crash_age = seconds{60};

auto is_open_order(version_shift const& v) -> bool
{
    return v.order.state == order_state::waiting ||
           v.order.state == order_state::running;
}

/// Evidence of a rollout that other instances need: of one that is not decided,
/// if this instance has sent requests to the new version.
auto is_worth_reporting(version_shift const& v) -> bool
{
    return is_open_order(v) && total_of(v.outcomes).after.requests > 0;
}

auto current_report(dispatch_state const& s) -> instance_report
{
    auto r = instance_report{s.init.self.name, {}, {}};
    for (auto const& [id, it] : s.services)
        if (it.shift && is_worth_reporting(*it.shift))
            r.evidence.push_back(
                {it.name, it.shift->order.to_version, it.shift->outcomes});
    std::sort(r.evidence.begin(), r.evidence.end());
    for (auto const& it : s.suspicions.crashes)
        r.crashes.push_back(it.value);
    return r;
}

auto arm_report(dispatch_state& s, time_point when) -> void
{
    if (s.own_report.due)
        return;
    s.own_report.due = true;
    arm(s, when, report_due{});
}

/// A report that this process has not written may be a write of an earlier era,
/// executed late, or that of the process before.
auto apply_own_report(dispatch_state& s, instance_report const& r,
    store_version version, time_point now) -> void
{
    auto& own = s.own_report;
    own.exists = true;
    auto const overwritten =
        own.version.revision != 0 && version > own.version && r != own.value;
    if (overwritten)
        rewrite_report(s, now);
}

} // namespace

auto apply_report(dispatch_state& s, instance_report const& r,
    store_version version, time_point now) -> void
{
    if (r.name == s.init.self.name)
        return apply_own_report(s, r, version, now);
    auto& known = s.reports[r.name];
    auto const may_be_earlier = known.version.era < version.era &&
                                known.version.revision != 0 &&
                                !is_settled(s, store_kind::reports, now);
    known.version = version;
    if (known.value == r)
        return;
    if (may_be_earlier)
        s.settling.unsettled.insert(store_kind::reports);
    else
        known = {r, now, version};
}

auto drop_report(dispatch_state& s, std::string const& name) -> void
{
    s.reports.erase(name);
    if (name == s.init.self.name)
        s.own_report.exists = false;
}

auto reported_outcomes(dispatch_state const& s, std::string const& service,
    std::string const& version) -> std::vector<route_outcomes>
{
    auto sum = std::vector<route_outcomes>{};
    for (auto const& [name, report] : s.reports)
        for (auto const& it : report.value.evidence)
            if (it.service == service && it.version == version)
                sum = with_sum(std::move(sum), it.routes);
    return sum;
}

auto reported_crashes(dispatch_state const& s, time_point now)
    -> std::vector<target_crash>
{
    auto all = std::vector<target_crash>{};
    for (auto const& [name, report] : s.reports)
        if (now - report.at <= duration{max_crash_age})
            all.insert(all.end(), report.value.crashes.begin(),
                report.value.crashes.end());
    return all;
}

auto request_report(dispatch_state& s, time_point now) -> void
{
    arm_report(
        s, std::max(now, s.own_report.at + s.init.limits.report_interval));
}

auto rewrite_report(dispatch_state& s, time_point now) -> void
{
    auto& own = s.own_report;
    if (own.at == time_point{})
        return;
    own.value = {};
    request_report(s, now);
}

auto on_report_due(dispatch_state& s, time_point now, commands& out) -> void
{
    auto& own = s.own_report;
    own.due = false;
    auto report = current_report(s);
    auto const empty = report.evidence.empty() && report.crashes.empty();
    if (s.stop.requested || report == own.value || (empty && !own.exists))
        return;
    own.value = std::move(report);
    own.at = now;
    out.push_back(store_write_report{own.value, own.exists});
}

auto on_report_written(
    dispatch_state& s, store_written const& e, time_point now) -> void
{
    auto& own = s.own_report;
    if (!e.failure)
    {
        own.exists = true;
        own.version = version_of(e);
        return;
    }
    own.exists = e.failure == store_failure::conflict ||
                 (own.exists && e.failure != store_failure::missing);
    own.value = {};
    arm_report(
        s, e.failure == store_failure::conflict ? now : now + rewrite_after);
}

} // namespace knapweedstream::dispatch
