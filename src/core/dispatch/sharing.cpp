#include "core/dispatch/sharing.hpp"

#include <algorithm>
#include <vector>

namespace knapweedstream::dispatch
{

namespace
{

/// A connection that an instance may be granted, ordered by precedence.
struct connection_demand
{
    std::uint32_t round = 0; ///< Even for near targets, odd for far ones.
    std::uint64_t rank = 0;  ///< Order within a round; a hash.
    std::size_t instance = 0;

    auto operator<=>(connection_demand const&) const = default;
};

/// Input of the division. `ranks` and `near` hold one row per target with one
/// element per instance.
struct division
{
    std::size_t instances = 0;
    std::vector<std::uint32_t> connections; ///< Of each target.
    std::vector<std::uint64_t> ranks;
    std::vector<bool> near; ///< Target and instance are in one region.

    auto operator<=>(division const&) const = default;
};

auto make_division(std::span<shared_target const> targets,
    std::span<instance_record const> instances) -> division
{
    auto d = division{instances.size(), {}, {}, {}};
    for (auto const& t : targets)
    {
        d.connections.push_back(t.connections);
        for (auto const& it : instances)
        {
            d.ranks.push_back(hash_name(it.name, t.id.value));
            d.near.push_back(it.region == t.region);
        }
    }
    return d;
}

auto rank_of(division const& d, std::size_t target, std::size_t instance)
    -> std::uint64_t
{
    return d.ranks[target * d.instances + instance];
}

auto is_near(division const& d, std::size_t target, std::size_t instance)
    -> bool
{
    return d.near[target * d.instances + instance];
}

/// The number of far targets of an instance, and the position of one of them.
struct far_targets
{
    std::uint32_t count = 0;
    std::uint32_t position = 0;

    auto operator<=>(far_targets const&) const = default;
};

auto far_targets_of(division const& d, std::size_t target, std::size_t instance)
    -> far_targets
{
    auto const mine = rank_of(d, target, instance);
    auto out = far_targets{};
    for (std::size_t t = 0; t < d.connections.size(); ++t)
    {
        if (is_near(d, t, instance))
            continue;
        ++out.count;
        out.position += rank_of(d, t, instance) < mine ? 1 : 0;
    }
    return out;
}

auto count_near(division const& d, std::size_t target) -> std::size_t
{
    auto n = std::size_t{0};
    for (std::size_t i = 0; i < d.instances; ++i)
        n += is_near(d, target, i) ? 1 : 0;
    return n;
}

auto demands_on(division const& d, std::size_t target)
    -> std::vector<connection_demand>
{
    // If the near instances need all connections, only they get one each.
    auto const scarce = count_near(d, target) >= d.connections[target];
    auto demands = std::vector<connection_demand>{};
    for (std::size_t i = 0; i < d.instances; ++i)
    {
        auto const near = is_near(d, target, i);
        if (scarce && !near)
            continue;
        auto const rank = rank_of(d, target, i);
        auto const far = near ? far_targets{} : far_targets_of(d, target, i);
        auto const most = scarce ? 1
                          : near ? max_near_connections
                                 : max_far_connections;
        for (auto n = 0u; n < most; ++n)
            demands.push_back(
                {near ? 2 * n : 2 * (far.position + n * far.count) + 1, rank,
                    i});
    }
    return demands;
}

/// Connections to one target that are granted to an instance.
auto granted_to(division const& d, std::size_t target, std::size_t instance)
    -> std::uint32_t
{
    auto demands = demands_on(d, target);
    auto const granted =
        std::min<std::size_t>(demands.size(), d.connections[target]);
    auto const end = demands.begin() + static_cast<std::ptrdiff_t>(granted);
    std::nth_element(demands.begin(), end, demands.end());
    return static_cast<std::uint32_t>(std::count_if(demands.begin(), end,
        [&](connection_demand const& it) { return it.instance == instance; }));
}

} // namespace

auto connection_shares(std::span<shared_target const> targets,
    std::span<instance_record const> instances, instance_record const& self)
    -> std::vector<std::uint32_t>
{
    auto const d = make_division(targets, instances);
    auto const mine = std::find_if(instances.begin(), instances.end(),
        [&](instance_record const& it) { return it.name == self.name; });
    auto const i = static_cast<std::size_t>(mine - instances.begin());
    auto shares = std::vector<std::uint32_t>{};
    for (std::size_t t = 0; t < targets.size(); ++t)
        shares.push_back(granted_to(d, t, i));
    return shares;
}

} // namespace knapweedstream::dispatch
