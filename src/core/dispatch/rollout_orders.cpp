#include "core/dispatch/rollout_orders.hpp"

#include "core/dispatch/pool.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Interval of checks of an order that is not final.
constexpr auto shift_check_interval = milliseconds{100};

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

auto counts_text(version_record const& r) -> std::string
{
    return std::to_string(static_cast<std::uint64_t>(r.failures)) + "/" +
           std::to_string(static_cast<std::uint64_t>(r.requests));
}

auto report_phase(version_shift const& v, char const* phase, commands& out)
    -> void
{
    out.push_back(report_fact{rollout_progressed{v.order.service,
        v.order.to_version, phase, v.revision,
        "failed_before=" + counts_text(v.before) +
            " failed_after=" + counts_text(v.after)}});
}

/// Requires fresh data from watches of orders while one is not final.
auto update_freshness(dispatch_state& s) -> void
{
    auto const open = std::any_of(s.services.begin(), s.services.end(),
        [](auto const& it)
        { return it.second.shift && is_open_order(*it.second.shift); });
    s.follows[store_kind::rollouts].require_fresh = open;
}

auto replace(service_entry& e, version_shift next, commands& out) -> void
{
    auto const moved = !e.shift || e.shift->phase.index() != next.phase.index();
    e.shift = std::move(next);
    if (moved)
        report_phase(*e.shift, name_of(e.shift->phase), out);
}

auto write_state(
    dispatch_state& s, service_entry& e, time_point now, commands& out) -> void
{
    auto const rank = rank_for(s, id_of<service_id>(e.name));
    auto const state = state_to_report(*e.shift, rank, now);
    if (!state)
        return;
    auto next = *e.shift;
    next.reported_at = now;
    e.shift = next;
    out.push_back(store_write_order_state{
        e.name, next.order.to_version, *state, next.revision});
}

} // namespace

auto apply_order(dispatch_state& s, rollout_order const& o,
    std::uint64_t revision, time_point now, commands& out) -> void
{
    auto& e = service_entry_of(s, o.service);
    auto next = e.shift ? with_order(*e.shift, o, revision, now)
                        : begin_shift(o, revision, now);
    replace(e, std::move(next), out);
    update_freshness(s);
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
    bool failed, duration took) -> void
{
    auto const it = s.services.find(t.service);
    if (it != s.services.end() && it->second.shift)
        it->second.shift =
            with_result(*it->second.shift, t.info.version, failed, took);
}

auto on_shift_due(dispatch_state& s, shift_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.services.find(e.service);
    if (it == s.services.end() || !it->second.shift ||
        !is_open_order(*it->second.shift))
        return;
    replace(it->second, advanced(*it->second.shift, now), out);
    write_state(s, it->second, now, out);
    arm(s, now + shift_check_interval, e);
}

} // namespace knapweedstream::dispatch
