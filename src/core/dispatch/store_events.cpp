#include "core/dispatch/store_events.hpp"

#include "core/dispatch/catalog.hpp"
#include "core/dispatch/stop.hpp"

#include <array>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto checked_beside_targets =
    std::array{store_kind::configuration, store_kind::evacuations};

/// Replaces what is known of following a kind, and wakes it when it pauses.
auto step(dispatch_state& s, follow_step next, commands& out) -> void
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

auto tell_contact(dispatch_state& s, store_kind kind, bool lost,
    store_failure why, commands& out) -> void
{
    auto const known = s.follows[kind].revision;
    out.push_back(
        report_fact{store_availability_changed{kind, lost, why, known}});
}

/// Notes that the store has answered a call of a kind.
auto regained(dispatch_state& s, store_kind kind, time_point now, commands& out)
    -> void
{
    if (s.follows[kind].failures > 0)
    {
        s.last_trouble[kind] = now;
        tell_contact(s, kind, false, store_failure::unreachable, out);
    }
    if (!s.prober)
        return;
    s.prober.reset();
    for (auto const it : store_kinds)
        if (it != kind && std::holds_alternative<pausing>(s.follows[it].phase))
            arm(s, now, follow_due{it});
}

/// Writes this instance's record if the list of instances lacks it.
auto keep_record(dispatch_state& s, commands& out) -> void
{
    auto const& self = s.init.self;
    auto const it = s.instances.find(self.name);
    auto const listed = it != s.instances.end();
    if (!s.stop.asked && (!listed || it->second != self))
        out.push_back(store_write_record{self, listed});
}

/// Checks the watch of a kind, if it waits.
auto check(dispatch_state const& s, store_kind kind, commands& out) -> bool
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
        auto f = followed{};
        f.kind = kind;
        f.phase = pausing{now};
        f.unhurried = kind == store_kind::targets;
        step(s, resume(f, s.init.limits, now), out);
    }
    arm(s, now + s.init.limits.watch_check, check_due{});
}

auto on_listed(dispatch_state& s, store_listed const& e, time_point now,
    commands& out) -> void
{
    regained(s, e.kind, now, out);
    auto const& before = s.follows[e.kind];
    auto const* list = std::get_if<listing>(&before.phase);
    if (list == nullptr)
        return;
    if (e.next.empty())
    {
        auto objects = list->objects;
        objects.insert(objects.end(), e.objects.begin(), e.objects.end());
        take_list(s, e.kind, objects, now, out);
        if (e.kind == store_kind::instances)
            keep_record(s, out);
    }
    auto page = with_page(std::move(s.follows[e.kind]), e, s.init.limits, now);
    step(s, std::move(page), out);
    update_ready(s, out);
}

auto on_changed(dispatch_state& s, store_changed const& e, time_point now,
    commands& out) -> void
{
    regained(s, e.kind, now, out);
    take_changes(s, e.kind, e.changes, now, out);
    step(s, with_changes(s.follows[e.kind], e, s.init.limits, now), out);
    update_ready(s, out);
}

auto on_store_failed(dispatch_state& s, store_failed const& e, time_point now,
    commands& out) -> void
{
    ++s.stats.store_failures;
    auto const& f = s.follows[e.kind];
    if (f.failures == 0)
        tell_contact(s, e.kind, true, e.failure, out);
    s.last_trouble[e.kind] = now;
    if (!s.prober)
        s.prober = e.kind;
    step(s, with_failure(f, s.init.limits, fraction(s), now), out);
}

/// While the store is away one kind asks for it; the others wait for that.
auto on_follow_due(dispatch_state& s, follow_due const& e, time_point now,
    commands& out) -> void
{
    if (s.prober && *s.prober != e.kind)
        return;
    step(s, resume(s.follows[e.kind], s.init.limits, now), out);
}

auto need_news(dispatch_state& s, time_point now, commands& out) -> void
{
    auto const& f = s.follows[store_kind::targets];
    if (f.unhurried)
        step(s, hurried(f, s.init.limits, now), out);
}

/// The check of one kind shows whether the store has changed at all, and so
/// whether the others are worth a check.
auto on_check_due(dispatch_state& s, time_point now, commands& out) -> void
{
    arm(s, now + s.init.limits.watch_check, check_due{});
    if (s.prober || check(s, store_kind::targets, out))
        return;
    for (auto const kind : checked_beside_targets)
        check(s, kind, out);
}

auto on_checked(dispatch_state& s, store_checked const& e, time_point now,
    commands& out) -> void
{
    if (e.failure)
    {
        ++s.stats.store_failures;
        return; // The waiting watch tells whether the store is lost.
    }
    if (e.kind == store_kind::targets && e.revision > s.checked)
    {
        s.checked = e.revision;
        for (auto const kind : checked_beside_targets)
            check(s, kind, out);
    }
    auto const f = s.follows.at(e.kind);
    if (!is_silent(f, e))
        return;
    out.push_back(report_fact{
        watch_stalled{e.kind, f.revision, e.revision, e.changes.size()}});
    take_changes(s, e.kind, e.changes, now, out);
    step(s, with_checked(f, e, s.init.limits), out);
    update_ready(s, out);
}

/// A record that exists though it was not listed is replaced; other failures
/// show in the next list.
auto on_written(dispatch_state& s, store_written const& e, commands& out)
    -> void
{
    if (e.kind != store_kind::instances)
        return; // What has become of a rollout order is watched.
    if (!s.stop.asked && e.failure == store_failure::conflict)
        out.push_back(store_write_record{s.init.self, true});
}

auto on_compacted(dispatch_state& s, store_compacted const& e, time_point now,
    commands& out) -> void
{
    s.last_trouble[e.kind] = now;
    step(s, without_history(s.follows[e.kind], s.init.limits, now), out);
}

} // namespace knapweedstream::dispatch
