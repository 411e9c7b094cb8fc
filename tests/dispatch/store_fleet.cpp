#include "dispatch/store_fleet.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto step_length = milliseconds{5};

auto zone_name(std::size_t i) -> std::string
{
    return "z" + std::to_string(i);
}

auto instance_name(std::size_t i) -> std::string
{
    return "i" + std::to_string(i);
}

} // namespace

store_fleet::store_fleet(store_fleet_setup const& setup)
    : setup_(setup), random_{setup.seed, 0}
{
    store_.write(store_kind::configuration,
        {"main", 0, config_of(single_route("s"))}, now);
    for (std::size_t i = 0; i < setup.targets; ++i)
    {
        auto const name = "t" + std::to_string(i);
        store_.write(store_kind::targets,
            {name, 0, make_registration(name, "s", zone_name(i % setup.zones))},
            now);
    }
    for (std::size_t i = 0; i < setup.instances; ++i)
        add_instance(now);
}

auto store_fleet::add_instance(time_point start) -> void
{
    auto const i = nodes_.size();
    auto init = dispatcher_init{};
    for (std::size_t z = 0; z < setup_.zones; ++z)
        init.regions[zone_name(z)] = "r";
    auto const address = "10.0.0.1:" + std::to_string(i);
    init.self = {instance_name(i), zone_name(i % setup_.zones), "r",
        setup_.relays ? address : ""};
    init.seed = 1'000 + i;
    init.bounds = setup_.bounds;
    auto n = node{};
    n.started = start;
    n.core = std::make_unique<harness>(init, start);
    n.core->submit("q"); // Callers are served: targets are in demand.
    nodes_.push_back(std::move(n));
}

auto store_fleet::start_instance() -> void
{
    constexpr auto start_length = seconds{2};
    add_instance(now);
    nodes_.back().disturbed_until = now + start_length;
    for (auto& it : changes)
        it.known_at.push_back(time_point::max());
}

auto store_fleet::stop(std::size_t i) -> void
{
    nodes_[i].stopping = true;
    nodes_[i].core->feed(stop_requested{});
    take_commands(i);
}

auto store_fleet::write(store_kind kind, stored_object o) -> void
{
    if (rewrites_.erase({kind, o.name}) > 0)
        note_rewritten(o);
    store_.write(kind, std::move(o), now);
}

auto store_fleet::remove(store_kind kind, std::string const& name) -> void
{
    rewrites_.erase({kind, name});
    store_.remove(kind, name, now);
}

auto store_fleet::change_target() -> void
{
    auto const n = next_target_++;
    auto const fresh = n % 2 == 0;
    auto const name = "c" + std::to_string(n / 2);
    auto r = make_registration(name, "s", zone_name(n % setup_.zones));
    r.draining = !fresh;
    write(store_kind::targets, {name, 0, r});
    changes.push_back({name, r.draining, now,
        std::vector<time_point>(nodes_.size(), time_point::max())});
}

auto store_fleet::cut_until(std::size_t i, time_point end) -> void
{
    nodes_[i].cut_until = end;
    nodes_[i].disturbed_until = end;
}

auto store_fleet::silence_connections(std::size_t i) -> void
{
    for (auto& it : nodes_[i].calls)
        it.lost = true;
}

auto store_fleet::freeze_until(std::size_t i, time_point end) -> void
{
    nodes_[i].frozen_until = end;
    nodes_[i].disturbed_until = end;
}

auto store_fleet::leave(duration away, outage how) -> void
{
    if (how == outage::silent)
        return silence_until(now + away);
    broken_until_ = now + away;
    for (auto& n : nodes_)
        for (auto& it : n.calls)
        {
            it.lost = true;
            it.failure = store_failure::unreachable;
            it.fails_at = now;
        }
}

auto store_fleet::restore(duration age, duration away, outage how) -> void
{
    leave(away, how);
    schedule_rewrites(store_.restore(now - age), now + away);
}

auto store_fleet::schedule_rewrites(
    std::vector<acknowledged_change> const& lost, time_point back) -> void
{
    constexpr auto first_rewrite = milliseconds{100};
    constexpr auto between_rewrites = milliseconds{20};
    auto when = back + first_rewrite;
    for (auto const& it : lost)
    {
        if (it.kind == store_kind::instances || it.kind == store_kind::reports)
            continue;
        rewrites_[{it.kind, it.change.object.name}] = {it.change, when};
        when += between_rewrites;
    }
}

auto store_fleet::rewrite_lost() -> void
{
    for (auto it = rewrites_.begin(); it != rewrites_.end();)
    {
        auto const kind = it->first.first;
        auto o = it->second.change.object;
        if (now < it->second.at || now < silent_until_ || now < broken_until_)
        {
            ++it;
            continue;
        }
        auto const* known = store_.find(kind, o.name);
        // The operator writes an order; its state is not the operator's.
        if (auto* order = std::get_if<rollout_order>(&o.value))
            order->state = known == nullptr
                               ? order_state::waiting
                               : std::get<rollout_order>(known->value).state;
        if (it->second.change.deleted)
            store_.remove(kind, o.name, now);
        else if (known == nullptr || known->value != o.value)
            store_.write(kind, o, now);
        note_rewritten(o);
        it = rewrites_.erase(it);
    }
}

auto store_fleet::note_rewritten(stored_object const& o) -> void
{
    for (auto& it : changes)
        if (it.target == o.name)
            it.at = now;
}

auto store_fleet::runs(std::size_t i) const -> bool
{
    return nodes_[i].alive && now >= nodes_[i].frozen_until;
}

auto store_fleet::is_silent(std::size_t i) const -> bool
{
    return now < silent_until_ || now < nodes_[i].cut_until;
}

auto store_fleet::happens(double share) -> bool
{
    constexpr auto steps = std::uint64_t{1'000'000};
    return share > 0 && static_cast<double>(draw_below(random_, steps)) <
                            share * static_cast<double>(steps);
}

auto store_fleet::stated_era() -> store_era
{
    return happens(faults.without_era) ? store_era{} : store_era{store_.era()};
}

auto store_fleet::run(duration length, std::function<void()> const& each_step)
    -> void
{
    for (auto const end = now + length; now < end;)
    {
        step();
        if (each_step)
            each_step();
    }
}

auto store_fleet::step() -> void
{
    now += step_length;
    rewrite_lost();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (runs(i))
        {
            auto& core = *nodes_[i].core;
            // The steady clock counts the time of a freeze, too.
            core.advance(now - core.now);
            answer_writes(i);
            end_calls(i);
            take_commands(i);
        }
    deliver_questions();
}

auto store_fleet::note_fact(std::size_t i, fact const& f) -> void
{
    nodes_[i].view = with_fact(std::move(nodes_[i].view), f);
    auto const* it = std::get_if<target_condition_changed>(&f);
    if (it == nullptr)
        return;
    auto const drains = it->condition == target_condition::draining ||
                        it->condition == target_condition::gone;
    if (!drains && it->condition != target_condition::registered)
        return;
    for (auto& c : changes)
        if (c.target == it->target && (drains || !c.draining))
            c.known_at[i] = std::min(c.known_at[i], now);
}

auto store_fleet::longest_lag() const -> duration
{
    auto longest = duration{0};
    for (auto const& c : changes)
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i].alive && nodes_[i].disturbed_until < c.at)
                longest =
                    std::max(longest, std::min(c.known_at[i], now) - c.at);
    return longest;
}

auto store_fleet::attached() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(),
        [](node const& it) { return it.alive && it.view.attached; }));
}

} // namespace knapweedstream::dispatch
