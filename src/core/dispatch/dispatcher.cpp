#include "core/dispatch/dispatcher.hpp"

#include "core/dispatch/attempts.hpp"
#include "core/dispatch/catalog.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/requests.hpp"
#include "core/dispatch/rollout_orders.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <array>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto retire_after = milliseconds{3'000}; ///< From the stop order.
constexpr auto stop_check = milliseconds{50};      ///< Between looks.
constexpr auto grace_margin = milliseconds{500};   ///< Left of the grace.
constexpr auto quiet_time = milliseconds{300};     ///< Before leaving.

/// Limits that keep to the bounds: news of a leaving target must be in time.
auto fitted(dispatch_limits limits, dispatch_bounds const& bounds)
    -> dispatch_limits
{
    constexpr auto drain_parts = 5;
    constexpr auto pause_parts = 2;
    limits.targets_pause = std::min(
        limits.targets_pause, bounds.drain * pause_parts / drain_parts);
    return limits;
}

/// Replaces what is known of following a kind, and wakes it when it pauses.
auto step(dispatch_state& s, follow_step const& next, commands& out) -> void
{
    s.follows[next.next.kind] = next.next;
    if (auto const* it = std::get_if<pausing>(&next.next.phase))
        arm(s, it->until, follow_due{next.next.kind});
    for (auto const& c : next.out)
        if (!std::holds_alternative<wake_at>(c))
            out.push_back(c);
}

auto tell_contact(dispatch_state& s, store_kind kind, bool lost,
    store_failure why, commands& out) -> void
{
    auto const known = s.follows[kind].revision;
    out.push_back(note{store_contact{kind, lost, why, known}});
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

auto update_ready(dispatch_state& s, commands& out) -> void
{
    auto const ready = knows_enough(s) && !s.stop.asked;
    if (ready == s.ready)
        return;
    s.ready = ready;
    out.push_back(set_ready{ready});
    out.push_back(note{readiness_changed{
        ready, s.stop.asked ? "stopping" : "store followed"}});
}

/// Writes this instance's record if the list of instances lacks it.
auto keep_record(dispatch_state& s, commands& out) -> void
{
    auto const& self = s.init.self;
    auto const it = s.instances.find(self.name);
    auto const listed = it != s.instances.end();
    if (!s.stop.asked && (!listed || it->second != self))
        out.push_back(store_record{self, listed});
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
    step(s, with_page(s.follows[e.kind], e, s.init.limits, now), out);
    update_ready(s, out);
}

auto on_changed(dispatch_state& s, store_changed const& e, time_point now,
    commands& out) -> void
{
    regained(s, e.kind, now, out);
    for (auto const& it : e.changes)
        take_change(s, e.kind, it, now, out);
    step(s, with_changes(s.follows[e.kind], e, s.init.limits, now), out);
    update_ready(s, out);
}

auto on_store_failed(dispatch_state& s, store_failed const& e, time_point now,
    commands& out) -> void
{
    ++s.stats.store_failures;
    auto const& f = s.follows[e.kind];
    if (f.failures == 0)
        tell_contact(s, e.kind, true, e.why, out);
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

/// Checks the watch of a kind, if it waits.
auto check(dispatch_state const& s, store_kind kind, commands& out) -> bool
{
    auto const c = check_of(s.follows.at(kind));
    if (c)
        out.push_back(*c);
    return c.has_value();
}

constexpr auto checked_beside_targets =
    std::array{store_kind::configuration, store_kind::evacuations};

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
    if (e.why)
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
    out.push_back(
        note{watch_silent{e.kind, f.revision, e.revision, e.changes.size()}});
    for (auto const& it : e.changes)
        take_change(s, e.kind, it, now, out);
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
    if (!s.stop.asked && e.why == store_failure::conflict)
        out.push_back(store_record{s.init.self, true});
}

/// From the stop order until callers' connections are closed.
auto retire_time(dispatch_state const& s) -> duration
{
    auto const last = duration{s.init.bounds.grace} - duration{grace_margin};
    return std::min(duration{retire_after}, last - duration{quiet_time});
}

auto on_stop(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.stop.asked)
        return;
    s.stop = stopping{true, now, false, false};
    update_ready(s, out);
    out.push_back(store_remove{s.init.self.name});
    arm(s, now + stop_check, stop_due{});
}

/// Lets callers' connections go when callers have had time to go elsewhere.
auto on_stop_due(dispatch_state& s, time_point now, commands& out) -> void
{
    if (now - s.stop.since >= retire_time(s) && !s.stop.retired)
    {
        s.stop.retired = true;
        out.push_back(retire_callers{});
    }
    arm(s, now + stop_check, stop_due{});
}

/// Leaves once no caller has asked for anything for a while. To be called
/// when all that is due has been handled, so that no request is cut.
auto leave_if_quiet(dispatch_state& s, time_point now, commands& out) -> void
{
    if (!s.stop.retired || s.stop.left)
        return;
    auto const last = duration{s.init.bounds.grace} - duration{grace_margin};
    auto const quiet =
        s.requests.empty() &&
        now - std::max(s.last_request, s.stop.since + retire_time(s)) >=
            duration{quiet_time};
    if (!quiet && now - s.stop.since < last)
        return;
    s.stop.left = true;
    out.push_back(exit_now{});
}

auto fire(dispatch_state& s, timer const& t, time_point now, commands& out)
    -> void
{
    std::visit(overloaded{[&](request_due const& e)
                   { on_request_due(s, e, now, out); },
                   [&](loser_due const& e) { on_loser_due(s, e, now, out); },
                   [&](link_due const& e) { on_link_due(s, e, now, out); },
                   [&](target_due const& e) { on_target_due(s, e, now, out); },
                   [&](follow_due const& e) { on_follow_due(s, e, now, out); },
                   [&](shift_due const& e) { on_shift_due(s, e, now, out); },
                   [&](check_due const&) { on_check_due(s, now, out); },
                   [&](stop_due const&)
                   {
                       on_stop_due(s, now, out);
                   }},
        t);
}

auto run_timers(dispatch_state& s, time_point now, commands& out) -> void
{
    while (!s.timers.empty() && s.timers.top().when <= now)
    {
        auto const due = s.timers.top();
        s.timers.pop();
        fire(s, due.what, now, out);
    }
}

/// Asks for a tick unless one no later is already on its way.
auto ask_tick(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.timers.empty())
        return;
    auto const next = s.timers.top().when;
    if (s.armed > now && s.armed <= next)
        return;
    s.armed = next;
    out.push_back(wake_at{next});
}

auto dispatch_event(
    dispatch_state& s, event const& e, time_point now, commands& out) -> void
{
    std::visit(
        overloaded{[&](caller_request const& it)
            { on_caller_request(s, it, now, out); },
            [&](caller_gone const& it) { on_caller_gone(s, it, now, out); },
            [&](connection_opened const& it) { on_opened(s, it, now, out); },
            [&](connection_closed const& it) { on_closed(s, it, now, out); },
            [&](target_replied const& it) { on_replied(s, it, now, out); },
            [&](store_listed const& it) { on_listed(s, it, now, out); },
            [&](store_changed const& it) { on_changed(s, it, now, out); },
            [&](store_checked const& it) { on_checked(s, it, now, out); },
            [&](store_compacted const& it)
            {
                s.last_trouble[it.kind] = now;
                step(s, without_history(s.follows[it.kind], s.init.limits, now),
                    out);
            },
            [&](store_failed const& it) { on_store_failed(s, it, now, out); },
            [&](store_written const& it) { on_written(s, it, out); },
            [&](stop_requested const&) { on_stop(s, now, out); },
            [&](tick const&)
            {
                // It may have come early; a later one is then asked for.
                s.armed = time_point{};
            }},
        e);
}

} // namespace

auto arm(dispatch_state& s, time_point when, timer what) -> void
{
    s.timers.push({when, s.timer_order++, std::move(what)});
}

auto fraction(dispatch_state& s) -> double
{
    constexpr auto steps = std::uint64_t{1} << 20;
    return static_cast<double>(draw_below(s.random, steps)) /
           static_cast<double>(steps);
}

auto budget_share_of(dispatch_state const& s) -> double
{
    return budget_share(s.init.bounds, s.instances.size());
}

dispatcher::dispatcher(dispatcher_init const& init)
    : state_(std::make_unique<dispatch_state>())
{
    state_->init = init;
    state_->init.limits = fitted(init.limits, init.bounds);
    state_->random = random_state{init.seed, 0};
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
auto dispatcher::operator=(dispatcher&&) noexcept -> dispatcher& = default;

auto dispatcher::start(time_point now) -> commands
{
    auto out = commands{};
    state_->started = now;
    for (auto const kind : store_kinds)
    {
        auto f = followed{};
        f.kind = kind;
        f.phase = pausing{now};
        step(*state_, resume(f, state_->init.limits, now), out);
    }
    arm(*state_, now + state_->init.limits.watch_check, check_due{});
    ask_tick(*state_, now, out);
    return out;
}

auto dispatcher::handle(event const& e, time_point now) -> commands
{
    auto out = commands{};
    run_timers(*state_, now, out);
    dispatch_event(*state_, e, now, out);
    leave_if_quiet(*state_, now, out);
    ask_tick(*state_, now, out);
    return out;
}

auto dispatcher::reconfigure(
    dispatch_limits const& limits, dispatch_bounds const& bounds) -> void
{
    state_->init.limits = fitted(limits, bounds);
    state_->init.bounds = bounds;
}

auto dispatcher::stats() const -> dispatch_stats const&
{
    return state_->stats;
}

auto dispatcher::gauges() const -> dispatch_gauges
{
    auto g = dispatch_gauges{};
    g.requests_open = state_->requests.size();
    for (auto const& [id, it] : state_->services)
        g.parts_waiting += it.waiting.size();
    g.connections = state_->links.size();
    g.targets = state_->targets.size();
    g.instances = state_->instances.size();
    g.config_version = state_->config ? state_->config->version : 0;
    g.ready = state_->ready;
    g.stopping = state_->stop.asked;
    return g;
}

} // namespace knapweedstream::dispatch
