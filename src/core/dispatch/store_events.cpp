#include "core/dispatch/store_events.hpp"

#include "core/dispatch/catalog.hpp"
#include "core/dispatch/reports.hpp"
#include "core/dispatch/stop.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

/// Watched kinds that are checked besides the targets.
constexpr auto other_checked_kinds =
    std::array{store_kind::configuration, store_kind::evacuations};

/// Stores the state after a step, arms a timer for the end of a pause, and
/// issues the step's calls.
auto apply_step(dispatch_state& s, follow_step next, commands& out) -> void
{
    auto const kind = next.next.kind;
    auto& f = s.follows[kind];
    f = std::move(next.next);
    if (auto const* it = std::get_if<pausing>(&f.phase))
        arm(s, it->until, follow_due{kind});
    for (auto& c : next.out)
        if (!std::holds_alternative<wake_at>(c))
            out.push_back(std::move(c));
}

auto report_availability(dispatch_state& s, store_kind kind, bool lost,
    store_failure why, commands& out) -> void
{
    auto const known = s.follows[kind].revision;
    out.push_back(
        report_fact{store_availability_changed{kind, lost, why, known}});
}

/// Records that the store has answered a call for a kind. After an outage it
/// lets the other kinds call again.
auto mark_reachable(
    dispatch_state& s, store_kind kind, time_point now, commands& out) -> void
{
    if (s.follows[kind].failures > 0)
    {
        s.last_disruption[kind] = now;
        report_availability(s, kind, false, store_failure::unreachable, out);
    }
    if (!s.probing_kind)
        return;
    s.probing_kind.reset();
    for (auto const it : store_kinds)
        if (it != kind && std::holds_alternative<pausing>(s.follows[it].phase))
            arm(s, now, follow_due{it});
}

/// Writes this instance's record if the list of instances lacks it or has
/// another version of it.
auto ensure_record(dispatch_state& s, commands& out) -> void
{
    auto const& self = s.init.self;
    auto const it = s.instances.find(self.name);
    auto const listed = it != s.instances.end();
    if (!s.stop.requested && (!listed || it->second != self))
        out.push_back(store_write_record{self, listed});
}

/// Lists the orders again if targets of a version have appeared that may be on
/// trial.
auto read_orders_if_needed(dispatch_state& s, time_point now, commands& out)
    -> void
{
    auto const needed = std::any_of(s.services.begin(), s.services.end(),
        [](auto const& it) { return needs_orders(it.second.versions); });
    if (needed)
        apply_step(s,
            relisted(s.follows[store_kind::rollouts], s.init.limits, now), out);
}

/// Handles a complete list: one of the orders that is not stale explains all
/// versions that targets have.
auto after_list(dispatch_state& s, store_kind kind, bool fresh, time_point now,
    commands& out) -> void
{
    if (kind == store_kind::instances)
        ensure_record(s, out);
    if (kind == store_kind::targets)
        read_orders_if_needed(s, now, out);
    if (kind != store_kind::rollouts || !fresh)
        return;
    for (auto& [id, it] : s.services)
        it.versions = with_orders_read(it.versions);
}

/// Checks the watch of a kind, if one is waiting.
///
/// @returns True if it was.
auto check_watch(dispatch_state const& s, store_kind kind, commands& out)
    -> bool
{
    auto const c = check_of(s.follows.at(kind));
    if (c)
        out.push_back(*c);
    return c.has_value();
}

} // namespace

auto start_following(dispatch_state& s, time_point now, commands& out) -> void
{
    for (auto const kind : store_kinds)
    {
        auto f = follow_state{};
        f.kind = kind;
        f.phase = pausing{now};
        f.low_priority = kind == store_kind::targets;
        apply_step(s, resume(f, s.init.limits, now), out);
    }
    arm(s, now + s.init.limits.watch_check, check_due{});
}

auto on_listed(dispatch_state& s, store_listed const& e, time_point now,
    commands& out) -> void
{
    mark_reachable(s, e.kind, now, out);
    auto const& before = s.follows[e.kind];
    auto const* list = std::get_if<listing>(&before.phase);
    if (list == nullptr)
        return;
    if (e.next.empty())
    {
        auto objects = list->objects;
        objects.insert(objects.end(), e.objects.begin(), e.objects.end());
        apply_list(s, e.kind, objects, now, out);
        after_list(s, e.kind, before.list_fresh, now, out);
    }
    auto page = with_page(std::move(s.follows[e.kind]), e, s.init.limits, now);
    apply_step(s, std::move(page), out);
    update_ready(s, out);
}

auto on_changed(dispatch_state& s, store_changed const& e, time_point now,
    commands& out) -> void
{
    mark_reachable(s, e.kind, now, out);
    apply_changes(s, e.kind, e.changes, now, out);
    apply_step(s, with_changes(s.follows[e.kind], e, s.init.limits, now), out);
    if (e.kind == store_kind::targets)
        read_orders_if_needed(s, now, out);
    update_ready(s, out);
}

auto on_store_failed(dispatch_state& s, store_failed const& e, time_point now,
    commands& out) -> void
{
    ++s.stats.store_failures;
    auto const& f = s.follows[e.kind];
    if (f.failures == 0)
        report_availability(s, e.kind, true, e.failure, out);
    s.last_disruption[e.kind] = now;
    if (!s.probing_kind)
        s.probing_kind = e.kind;
    apply_step(s, with_failure(f, s.init.limits, draw_fraction(s), now), out);
}

/// While the store is unreachable only one kind calls it; the others wait until
/// a call succeeds.
auto on_follow_due(dispatch_state& s, follow_due const& e, time_point now,
    commands& out) -> void
{
    if (s.probing_kind && *s.probing_kind != e.kind)
        return;
    apply_step(s, resume(s.follows[e.kind], s.init.limits, now), out);
}

auto prioritize_targets(dispatch_state& s, time_point now, commands& out)
    -> void
{
    auto const& f = s.follows[store_kind::targets];
    if (f.low_priority)
        apply_step(s, prioritized(f, s.init.limits, now), out);
}

/// Checks only the targets' watch, if it is waiting. The answer shows whether
/// the store has changed at all, and so whether the other kinds need a check.
auto on_check_due(dispatch_state& s, time_point now, commands& out) -> void
{
    arm(s, now + s.init.limits.watch_check, check_due{});
    if (s.probing_kind || check_watch(s, store_kind::targets, out))
        return;
    for (auto const kind : other_checked_kinds)
        check_watch(s, kind, out);
}

auto on_checked(dispatch_state& s, store_checked const& e, time_point now,
    commands& out) -> void
{
    if (e.failure)
    {
        ++s.stats.store_failures;
        return; // The waiting watch detects whether the store is lost.
    }
    if (e.kind == store_kind::targets && e.revision > s.checked_revision)
    {
        s.checked_revision = e.revision;
        for (auto const kind : other_checked_kinds)
            check_watch(s, kind, out);
    }
    auto const f = s.follows.at(e.kind);
    if (!has_missed_changes(f, e))
        return;
    out.push_back(report_fact{
        watch_stalled{e.kind, f.revision, e.revision, e.changes.size()}});
    apply_changes(s, e.kind, e.changes, now, out);
    apply_step(s, with_checked(f, e, s.init.limits), out);
    update_ready(s, out);
}

/// Replaces this instance's record if it exists although it was not listed.
/// Other failures show in the next list.
auto on_written(dispatch_state& s, store_written const& e, time_point now,
    commands& out) -> void
{
    if (e.kind == store_kind::reports)
        return on_report_written(s, e, now);
    if (e.kind != store_kind::instances)
        return; // Rollout orders are watched, so their changes arrive anyway.
    if (!s.stop.requested && e.failure == store_failure::conflict)
        out.push_back(store_write_record{s.init.self, true});
}

auto on_compacted(dispatch_state& s, store_compacted const& e, time_point now,
    commands& out) -> void
{
    s.last_disruption[e.kind] = now;
    apply_step(s, without_history(s.follows[e.kind], s.init.limits, now), out);
}

} // namespace knapweedstream::dispatch
