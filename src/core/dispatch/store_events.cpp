#include "core/dispatch/store_events.hpp"

#include "core/dispatch/catalog.hpp"
#include "core/dispatch/eras.hpp"
#include "core/dispatch/own_record.hpp"
#include "core/dispatch/relays.hpp"
#include "core/dispatch/reports.hpp"
#include "core/dispatch/stop.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

/// Kinds whose waiting watches are checked.
constexpr auto checked_kinds = std::array{
    store_kind::targets, store_kind::configuration, store_kind::evacuations};

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
    auto const known = s.follows[kind].known.revision;
    out.push_back(
        report_fact{store_availability_changed{kind, lost, why, known}});
}

/// Calls at once for a kind that waits for the end of an outage, and again for
/// one whose pending call has been in doubt since its begin.
auto follow_again(
    dispatch_state& s, store_kind kind, time_point now, commands& out) -> void
{
    auto const& f = s.follows[kind];
    auto const paused = std::holds_alternative<pausing>(f.phase);
    if (paused && f.failures == 0)
        arm(s, now, follow_due{kind}); // In case its pause has ended meanwhile.
    else if (paused || is_in_doubt(s.contact, f))
        apply_step(s, renewed(f, s.init.limits, now), out);
}

/// Records that the store has answered, with the version that it has reached.
/// After an outage all kinds are brought up to date.
///
/// @param[in] current Kind whose list or watch has been answered; none if a
///     check was.
auto mark_reachable(dispatch_state& s, std::optional<store_kind> current,
    store_version version, time_point now, commands& out) -> void
{
    auto const was_lost = s.contact.probing.has_value();
    s.contact = with_answer(s.contact, version);
    if (!was_lost)
        return;
    for (auto const it : store_kinds)
        if (it != current)
            follow_again(s, it, now, out);
}

/// Records that a list or a watch of a kind has been answered.
auto mark_answered(dispatch_state& s, store_kind kind, store_version version,
    time_point now, commands& out) -> void
{
    if (s.follows[kind].failures > 0)
    {
        s.last_disruption[kind] = now;
        report_availability(s, kind, false, store_failure::unreachable, out);
    }
    s.follows[kind].answered_at = now;
    mark_reachable(s, kind, version, now, out);
}

/// True if a list or a watch of the kind awaits its answer.
auto is_called(follow_state const& f) -> bool
{
    return std::holds_alternative<listing>(f.phase) ||
           std::holds_alternative<watching>(f.phase);
}

/// Decides whether an answer for a kind may be used. After one of an earlier
/// era the kind is read afresh. One that begins an era is not used either, as
/// it may be stale: all kinds are read afresh.
///
/// @param[in,out] e Answer; is given the era last seen if it states none.
template <class Answer>
auto admit(dispatch_state& s, Answer& e, char const* learned_from,
    time_point now, commands& out) -> bool
{
    switch (admit_era(s, e.era, learned_from, now, out))
    {
    case answer_era::current:
        return true;
    case answer_era::outdated:
        if (is_called(s.follows[e.kind]))
            restart_kind(s, e.kind, s.init.limits.store_retry_first, now);
        return false;
    case answer_era::begun:
        mark_answered(s, e.kind, s.contact.newest, now, out);
        return false;
    }
    return true;
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

auto report_list(store_kind kind, listing const& l, commands& out) -> void
{
    out.push_back(report_fact{list_read{kind, l.pages, l.objects.size(),
        l.oldest.revision, l.newest.revision}});
}

/// Handles a complete list: one of the orders that is not stale explains all
/// versions that targets have.
auto after_list(dispatch_state& s, store_kind kind, listing const& l,
    bool fresh, time_point now, commands& out) -> void
{
    if (kind == store_kind::instances)
    {
        count_claims(s, l, now);
        ensure_record(s, out);
    }
    if (kind == store_kind::targets)
        read_orders_if_needed(s, now, out);
    if (kind != store_kind::rollouts || !fresh)
        return;
    if (!is_rewritten(s, kind, now))
    {
        s.settling.unsettled.insert(kind);
        return;
    }
    for (auto& [id, it] : s.services)
        it.versions = with_orders_read(it.versions);
}

/// Handles a list that does not go on after a page: what it has held is used,
/// and nothing is taken as gone.
auto end_cut_list(dispatch_state& s, listing const& l, store_listed const& page,
    time_point now, commands& out) -> void
{
    auto const all = with_added(l, page);
    auto changes = std::vector<stored_change>{};
    for (auto const& it : all.objects)
        changes.push_back({it, false});
    apply_changes(s, page.kind, changes, all.oldest.era, now, out);
    out.push_back(report_fact{
        list_cut{page.kind, all.pages, all.objects.size(), page.next}});
    if (page.kind == store_kind::instances)
        ensure_record(s, out);
    apply_step(s,
        with_cut_list(s.follows[page.kind], follow_limits(s, now), now), out);
    update_ready(s, out);
}

/// Checks the waiting watches that need it.
auto check_watches(dispatch_state& s, time_point now, commands& out) -> void
{
    auto const limits = follow_limits(s, now);
    for (auto const kind : checked_kinds)
        if (needs_check(s.contact, s.follows[kind], limits, now))
            apply_step(s, with_check(s.follows[kind], limits, now), out);
}

/// Arms the timer of the next check: of the kind whose watch has been quiet for
/// longest, relative to its interval.
auto arm_check(dispatch_state& s, time_point now) -> void
{
    auto const limits = follow_limits(s, now);
    auto const shortest = std::min(limits.targets_check, limits.watch_check);
    auto when = now + shortest;
    for (auto const kind : checked_kinds)
        if (auto const t = check_time(s.follows[kind], limits); t > now)
            when = std::min(when, t);
    arm(s, when, check_due{});
}

/// A kind whose watch may wait in vain is called for again at once: after a
/// loss of contact, and if the store has discarded the changes since its
/// revision, when the check cannot say whether the watch has missed some.
auto on_check_failed(dispatch_state& s, store_kind kind, store_failure why,
    time_point now, commands& out) -> void
{
    if (is_contact_lost(why))
        on_store_failed(s, {kind, why, {}}, now, out);
    else if (why == store_failure::missing)
        apply_step(s, renewed(s.follows[kind], s.init.limits, now), out);
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
    arm_check(s, now);
    arm(s, now, relay_due{});
}

auto on_listed(dispatch_state& s, store_listed e, time_point now, commands& out)
    -> void
{
    if (!admit(s, e, "list", now, out))
        return;
    mark_answered(s, e.kind, version_of(e), now, out);
    auto const& before = s.follows[e.kind];
    auto const* list = std::get_if<listing>(&before.phase);
    if (list == nullptr)
        return;
    if (is_cut(*list, e))
        return end_cut_list(s, listing{*list}, e, now, out);
    if (e.next.empty())
    {
        auto const all = with_added(*list, e);
        apply_list(s, e.kind, all.objects, all.oldest, now, out);
        report_list(e.kind, all, out);
        after_list(s, e.kind, all, before.list_fresh, now, out);
    }
    auto page =
        with_page(std::move(s.follows[e.kind]), e, follow_limits(s, now), now);
    apply_step(s, std::move(page), out);
    if (e.kind == store_kind::instances && s.claim.needs_fresh)
        s.follows[e.kind].list_fresh = true;
    if (e.kind == store_kind::instances && s.claim.needs_list)
        list_instances_soon(s, s.claim.needs_fresh, now);
    answer_relay_callers(s, now, out);
    update_ready(s, out);
}

auto on_changed(
    dispatch_state& s, store_changed e, time_point now, commands& out) -> void
{
    if (!admit(s, e, "watch", now, out))
        return;
    mark_answered(s, e.kind, version_of(e), now, out);
    apply_changes(s, e.kind, e.changes, e.era.value_or(0), now, out);
    apply_step(
        s, with_changes(s.follows[e.kind], e, follow_limits(s, now), now), out);
    if (e.kind == store_kind::targets)
        read_orders_if_needed(s, now, out);
    answer_relay_callers(s, now, out);
    update_ready(s, out);
}

auto on_store_failed(
    dispatch_state& s, store_failed e, time_point now, commands& out) -> void
{
    admit_era(s, e.era, "failure", now, out);
    ++s.stats.store_failures;
    auto const& f = s.follows[e.kind];
    if (f.failures == 0)
        report_availability(s, e.kind, true, e.failure, out);
    s.last_disruption[e.kind] = now;
    s.contact = with_failed_call(s.contact, f, e.failure, now);
    apply_step(s, with_failure(f, s.init.limits, draw_fraction(s), now), out);
    answer_relay_callers(s, now, out);
}

/// While the store is unreachable only one kind calls it; the others wait until
/// a call succeeds.
auto on_follow_due(dispatch_state& s, follow_due const& e, time_point now,
    commands& out) -> void
{
    if (s.contact.probing && *s.contact.probing != e.kind)
        return;
    apply_step(s, resume(s.follows[e.kind], s.init.limits, now), out);
}

auto prioritize_targets(dispatch_state& s, time_point now, commands& out)
    -> void
{
    auto const& f = s.follows[store_kind::targets];
    if (!f.low_priority)
        return;
    if (std::holds_alternative<pausing>(f.phase) && f.known.revision != 0)
        out.push_back(report_fact{
            targets_known_late{now - f.answered_at, f.known.revision}});
    apply_step(s, prioritized(f, s.init.limits, now), out);
}

/// Checks the waiting watches, also while another kind fails: a watch that
/// waits on a silent connection would otherwise be noticed only at its end.
auto on_check_due(dispatch_state& s, time_point now, commands& out) -> void
{
    check_watches(s, now, out);
    arm_check(s, now);
}

/// A check that fails says as much as a watch that fails: the kind is called
/// again at once on a new connection.
auto on_checked(
    dispatch_state& s, store_checked e, time_point now, commands& out) -> void
{
    s.follows[e.kind].check_pending = false;
    switch (admit_era(s, e.era, "check", now, out))
    {
    case answer_era::current:
        break;
    case answer_era::outdated:
        return;
    case answer_era::begun:
        return mark_reachable(s, {}, s.contact.newest, now, out);
    }
    auto const f = s.follows[e.kind];
    if (e.failure)
    {
        if (is_check_of_watch(f, e))
            on_check_failed(s, e.kind, *e.failure, now, out);
        return;
    }
    if (has_missed_changes(f, e))
    {
        out.push_back(report_fact{watch_stalled{
            e.kind, f.known.revision, e.revision, e.changes.size()}});
        apply_changes(s, e.kind, e.changes, e.era.value_or(0), now, out);
    }
    apply_step(s, with_checked(s.follows[e.kind], e, s.init.limits, now), out);
    mark_reachable(s, {}, version_of(e), now, out);
    check_watches(s, now, out);
    answer_relay_callers(s, now, out);
    update_ready(s, out);
}

auto on_written(
    dispatch_state& s, store_written e, time_point now, commands& out) -> void
{
    if (admit_era(s, e.era, "write", now, out) == answer_era::outdated)
        e.failure = store_failure::outdated;
    if (e.kind == store_kind::reports)
        return on_report_written(s, e, now);
    if (e.kind != store_kind::instances)
        return; // Rollout orders are watched, so their changes arrive anyway.
    on_record_written(s, e, now, out);
}

auto on_compacted(
    dispatch_state& s, store_compacted e, time_point now, commands& out) -> void
{
    if (!admit(s, e, "discarded_history", now, out))
        return;
    s.last_disruption[e.kind] = now;
    apply_step(s, without_history(s.follows[e.kind], s.init.limits, now), out);
}

} // namespace knapweedstream::dispatch
