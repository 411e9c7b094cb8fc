#include "core/dispatch/rollout_orders.hpp"

#include "core/dispatch/eras.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/reports.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Interval of checks of an order that is not final.
constexpr auto shift_check_interval = milliseconds{100};
/// Multiple of the route's typical latency above which an attempt is slow.
constexpr auto slow_factor = 2.5;

/// Rank of this instance among all for a service, from 0.
auto rank_for(dispatch_state const& s, service_id service) -> std::size_t
{
    return rank_of_self(s, [&](instance_record const& it)
        { return hash_name(it.name, service.value); });
}

auto is_open_order(version_shift const& v) -> bool
{
    return v.order.state == order_state::waiting ||
           v.order.state == order_state::running;
}

auto counts_text(outcome_counts const& c) -> std::string
{
    return std::to_string(c.failed) + "+" + std::to_string(c.slow) + "/" +
           std::to_string(c.requests);
}

/// Outcomes that all instances together have seen.
auto all_outcomes(dispatch_state const& s, version_shift const& v)
    -> std::vector<route_outcomes>
{
    return with_sum(
        reported_outcomes(s, v.order.service, v.order.to_version), v.outcomes);
}

auto report_phase(
    dispatch_state const& s, version_shift const& v, commands& out) -> void
{
    auto const own = total_of(v.outcomes);
    auto const all = total_of(all_outcomes(s, v));
    out.push_back(report_fact{rollout_progressed{v.order.service,
        v.order.to_version, name_of(v.phase), v.version.revision,
        "bad_before=" + counts_text(own.before) + " bad_after=" +
            counts_text(own.after) + " all_before=" + counts_text(all.before) +
            " all_after=" + counts_text(all.after)}});
}

/// Requires fresh data from watches of orders while one is not final.
auto update_freshness(dispatch_state& s) -> void
{
    auto const open = std::any_of(s.services.begin(), s.services.end(),
        [](auto const& it)
        { return it.second.shift && is_open_order(*it.second.shift); });
    s.follows[store_kind::rollouts].require_fresh = open;
    s.follows[store_kind::reports].require_fresh = open;
}

auto replace(dispatch_state const& s, service_entry& e, version_shift next,
    commands& out) -> void
{
    auto const moved = !e.shift || e.shift->phase.index() != next.phase.index();
    e.shift = std::move(next);
    auto const undone =
        std::holds_alternative<shift_rolled_back>(e.shift->phase);
    e.versions = with_order_seen(e.versions, e.shift->order.to_version, undone);
    if (moved)
        report_phase(s, *e.shift, out);
}

auto write_state(
    dispatch_state& s, service_entry& e, time_point now, commands& out) -> void
{
    // A revision of an earlier era is no condition: it may have been given out
    // again to another state of the order.
    if (e.shift->version.era != s.contact.era.value_or(0))
        return;
    auto const rank = rank_for(s, id_of<service_id>(e.name));
    auto const state =
        state_to_report(*e.shift, all_outcomes(s, *e.shift), rank, now);
    if (!state)
        return;
    auto next = *e.shift;
    next.reported_at = now;
    e.shift = next;
    out.push_back(store_write_order_state{
        e.name, next.order.to_version, *state, next.version.revision});
}

} // namespace

auto apply_order(dispatch_state& s, rollout_order const& o,
    store_version version, time_point now, commands& out) -> void
{
    auto& e = service_entry_of(s, o.service);
    auto const reserve = trial_reserve(s.init.bounds,
        rank_for(s, id_of<service_id>(o.service)), s.instances.size());
    auto next = e.shift ? with_order(*e.shift, o, version, reserve, now)
                        : begin_shift(o, version, reserve, now);
    // The store may have come back with an order that has ended since.
    if (!is_settled(s, store_kind::rollouts, now) &&
        std::holds_alternative<shift_trying>(next.phase) &&
        e.versions.rolled_back.contains(o.to_version))
        next.phase = shift_rolled_back{rollout_fault::none, now, false};
    replace(s, e, std::move(next), out);
    update_freshness(s);
    request_report(s, now);
    if (is_open_order(*e.shift))
        arm(s, now, shift_due{id_of<service_id>(o.service)});
}

auto drop_order(dispatch_state& s, std::string const& service) -> void
{
    auto const it = s.services.find(id_of<service_id>(service));
    if (it != s.services.end())
        it->second.shift.reset();
    update_freshness(s);
}

auto ordered_services(dispatch_state const& s) -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [id, it] : s.services)
        if (it.shift)
            names.push_back(it.name);
    return names;
}

auto next_side(dispatch_state& s, service_id service) -> version_side
{
    auto const it = s.services.find(service);
    if (it == s.services.end() || !it->second.shift)
        return version_side::any;
    auto const share = trial_share(s.init.bounds, rank_for(s, service),
        std::max<std::size_t>(1, s.instances.size()));
    auto const c = choose_side(*it->second.shift, share);
    it->second.shift = c.next;
    return c.side;
}

auto record_version_result(dispatch_state& s, target_entry const& t,
    attempt const& a, bool failed, time_point now) -> void
{
    auto const it = s.services.find(t.service);
    if (it == s.services.end() || !it->second.shift ||
        !is_open_order(*it->second.shift))
        return;
    auto const outcome = failed            ? version_outcome::failed
                         : is_slow(a, now) ? version_outcome::slow
                                           : version_outcome::good;
    it->second.shift =
        with_result(*it->second.shift, t.info.version, a.route, outcome);
    request_report(s, now);
}

auto is_slow(attempt const& a, time_point now) -> bool
{
    return a.usual > duration{0} &&
           now - a.sent_at > scaled(a.usual, slow_factor);
}

auto is_on_trial(dispatch_state const& s, target_entry const& t) -> bool
{
    auto const it = s.services.find(t.service);
    return it != s.services.end() && it->second.shift &&
           is_open_order(*it->second.shift) &&
           t.info.version == it->second.shift->order.to_version;
}

auto on_shift_due(dispatch_state& s, shift_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.services.find(e.service);
    if (it == s.services.end() || !it->second.shift ||
        !is_open_order(*it->second.shift))
        return;
    auto const all = all_outcomes(s, *it->second.shift);
    replace(s, it->second, advanced(*it->second.shift, all, now), out);
    write_state(s, it->second, now, out);
    arm(s, now + shift_check_interval, e);
}

} // namespace knapweedstream::dispatch
