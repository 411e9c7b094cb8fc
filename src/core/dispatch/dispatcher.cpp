#include "core/dispatch/dispatcher.hpp"

#include "core/dispatch/attempts.hpp"
#include "core/dispatch/catalog.hpp"
#include "core/dispatch/charges.hpp"
#include "core/dispatch/eras.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/relays.hpp"
#include "core/dispatch/reports.hpp"
#include "core/dispatch/requests.hpp"
#include "core/dispatch/rollout_orders.hpp"
#include "core/dispatch/stop.hpp"
#include "core/dispatch/store_events.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedstream::dispatch
{

namespace
{

/// Limits adjusted to the bounds: pauses between watches of registrations are
/// kept well below the drain time, so that this instance learns in time that a
/// target is draining, also before its first request. A watch that falls silent
/// is found within half of the bound of its kind: a quarter until the check, a
/// quarter for its answer.
auto clamped(dispatch_limits limits, dispatch_bounds const& bounds)
    -> dispatch_limits
{
    constexpr auto drain_parts = 5;
    constexpr auto pause_parts = 2;
    constexpr auto check_parts = 4;
    auto const longest_pause = bounds.drain * pause_parts / drain_parts;
    limits.targets_pause = std::min(limits.targets_pause, longest_pause);
    limits.targets_idle_pause =
        std::min(limits.targets_idle_pause, longest_pause);
    limits.targets_check =
        std::min(limits.watch_check, bounds.drain / check_parts);
    limits.watch_check = std::min(limits.watch_check,
        std::min(bounds.config_apply, bounds.evacuate) / check_parts);
    return limits;
}

/// Handles a timer that is due.
auto fire(dispatch_state& s, timer const& t, time_point now, commands& out)
    -> void
{
    std::visit(
        overloaded{[&](request_due const& e)
            { on_request_due(s, e, now, out); },
            [&](abandoned_due const& e) { on_abandoned_due(s, e, now, out); },
            [&](link_due const& e) { on_link_due(s, e, now, out); },
            [&](target_due const& e) { on_target_due(s, e, now, out); },
            [&](follow_due const& e) { on_follow_due(s, e, now, out); },
            [&](settle_due const& e) { on_settle_due(s, e, now); },
            [&](shift_due const& e) { on_shift_due(s, e, now, out); },
            [&](check_due const&) { on_check_due(s, now, out); },
            [&](relay_due const&) { on_relay_due(s, now, out); },
            [&](report_due const&) { on_report_due(s, now, out); },
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

/// Asks for a tick at the time of the next timer, unless one was already asked
/// for that comes no later.
auto request_tick(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.timers.empty())
        return;
    auto const next = s.timers.top().when;
    if (s.next_tick > now && s.next_tick <= next)
        return;
    s.next_tick = next;
    out.push_back(wake_at{next});
}

auto dispatch_event(
    dispatch_state& s, event const& e, time_point now, commands& out) -> void
{
    std::visit(
        overloaded{[&](caller_request const& it)
            {
                prioritize_targets(s, now, out);
                on_caller_request(s, it, now, out);
            },
            [&](caller_gone const& it) { on_caller_gone(s, it, now, out); },
            [&](connection_opened const& it) { on_opened(s, it, now, out); },
            [&](connection_closed const& it) { on_closed(s, it, now, out); },
            [&](target_replied const& it) { on_replied(s, it, now, out); },
            [&](store_listed const& it) { on_listed(s, it, now, out); },
            [&](store_changed const& it) { on_changed(s, it, now, out); },
            [&](store_checked const& it) { on_checked(s, it, now, out); },
            [&](store_compacted const& it) { on_compacted(s, it, now, out); },
            [&](store_failed const& it) { on_store_failed(s, it, now, out); },
            [&](store_written const& it) { on_written(s, it, now, out); },
            [&](relay_asked const& it) { on_relay_asked(s, it, now, out); },
            [&](relay_replied const& it) { on_relay_replied(s, it, now, out); },
            [&](relay_failed const& it) { on_relay_failed(s, it, now, out); },
            [&](stop_requested const&)
            {
                on_stop(s, now, out);
                answer_relay_callers(s, now, out);
            },
            [&](tick const&)
            {
                // The tick may have come early; another one is then asked for.
                s.next_tick = time_point{};
            }},
        e);
}

} // namespace

auto arm(dispatch_state& s, time_point when, timer what) -> void
{
    s.timers.push({when, s.timer_order++, std::move(what)});
}

auto draw_fraction(dispatch_state& s) -> double
{
    constexpr auto steps = std::uint64_t{1} << 20;
    return static_cast<double>(draw_below(s.random, steps)) /
           static_cast<double>(steps);
}

auto terms_at(dispatch_state const& s, service_id service, time_point now)
    -> budget_terms
{
    auto const late = [&](target_id it)
    {
        return has_read_late(s, s.targets.at(it), now);
    };
    constexpr auto bits = 32;
    auto const place = std::ldexp(
        static_cast<double>(hash_name(s.init.self.name) >> bits), -bits);
    return terms_of(s.init.bounds, s.claim,
        std::ranges::any_of(s.services.at(service).targets, late), place, now);
}

dispatcher::dispatcher(dispatcher_init const& init)
    : state_(std::make_unique<dispatch_state>())
{
    state_->init = init;
    state_->init.limits = clamped(init.limits, init.bounds);
    state_->random = random_state{init.seed, 0};
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
auto dispatcher::operator=(dispatcher&&) noexcept -> dispatcher& = default;

auto dispatcher::start(time_point now) -> commands
{
    auto out = commands{};
    start_following(*state_, now, out);
    request_tick(*state_, now, out);
    return out;
}

auto dispatcher::handle(event const& e, time_point now) -> commands
{
    auto out = commands{};
    run_timers(*state_, now, out);
    dispatch_event(*state_, e, now, out);
    exit_if_idle(*state_, now, out);
    request_tick(*state_, now, out);
    return out;
}

auto dispatcher::reconfigure(dispatch_limits const& limits,
    dispatch_bounds const& bounds, time_point now) -> void
{
    if (bounds.budget_window != state_->init.bounds.budget_window)
        for (auto& [id, it] : state_->services)
            it.budget = with_window_changed(it.budget, bounds, now);
    state_->init.limits = clamped(limits, bounds);
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
    g.budget_instances = claimants(state_->claim);
    g.budget_claim = std::max(state_->claim.used, state_->claim.next);
    for (auto const& [id, it] : state_->services)
        g.unsettled_extras += it.budget.unsettled;
    g.config_version = state_->config ? state_->config->version : 0;
    g.store_era = state_->contact.era.value_or(0);
    g.ready = state_->ready;
    g.stopping = state_->stop.requested;
    return g;
}

} // namespace knapweedstream::dispatch
