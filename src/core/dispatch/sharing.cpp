#include "core/dispatch/sharing.hpp"

#include <algorithm>
#include <vector>

namespace knapweedstream::dispatch
{

namespace
{

/// A connection that an instance would like, the most urgent first.
struct claim
{
    std::uint32_t round = 0; ///< Even for near targets, odd for far ones.
    std::uint64_t rank = 0;  ///< Order within a round.
    std::size_t instance = 0;

    auto operator<=>(claim const&) const = default;
};

/// What the division of a service's targets is worked out from.
struct division
{
    std::span<shared_target const> targets;
    std::span<instance_record const> instances;
    std::vector<std::uint64_t> ranks; ///< By target, then by instance.
};

auto make_division(std::span<shared_target const> targets,
    std::span<instance_record const> instances) -> division
{
    auto d = division{targets, instances, {}};
    d.ranks.reserve(targets.size() * instances.size());
    for (auto const& t : targets)
        for (auto const& it : instances)
            d.ranks.push_back(hash_name(it.name, t.id.value));
    return d;
}

auto rank_of(division const& d, std::size_t target, std::size_t instance)
    -> std::uint64_t
{
    return d.ranks[target * d.instances.size() + instance];
}

auto is_near(division const& d, std::size_t target, std::size_t instance)
    -> bool
{
    return d.targets[target].region == d.instances[instance].region;
}

/// The far targets of an instance: how many, and the place of one among them.
struct far_targets
{
    std::uint32_t count = 0;
    std::uint32_t place = 0;
};

auto far_targets_of(division const& d, std::size_t target, std::size_t instance)
    -> far_targets
{
    auto const mine = rank_of(d, target, instance);
    auto out = far_targets{};
    for (std::size_t t = 0; t < d.targets.size(); ++t)
    {
        if (is_near(d, t, instance))
            continue;
        ++out.count;
        out.place += rank_of(d, t, instance) < mine ? 1 : 0;
    }
    return out;
}

auto count_near(division const& d, std::size_t target) -> std::size_t
{
    auto n = std::size_t{0};
    for (std::size_t i = 0; i < d.instances.size(); ++i)
        n += is_near(d, target, i) ? 1 : 0;
    return n;
}

auto claims_on(division const& d, std::size_t target) -> std::vector<claim>
{
    // Only first connections of near instances, if these take all.
    auto const scarce = count_near(d, target) >= d.targets[target].connections;
    auto claims = std::vector<claim>{};
    for (std::size_t i = 0; i < d.instances.size(); ++i)
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
            claims.push_back(
                {near ? 2 * n : 2 * (far.place + n * far.count) + 1, rank, i});
    }
    return claims;
}

/// Connections to one target that are granted to an instance.
auto granted_to(division const& d, std::size_t target, std::string const& name)
    -> std::uint32_t
{
    auto claims = claims_on(d, target);
    auto const granted =
        std::min<std::size_t>(claims.size(), d.targets[target].connections);
    auto const end = claims.begin() + static_cast<std::ptrdiff_t>(granted);
    std::nth_element(claims.begin(), end, claims.end());
    return static_cast<std::uint32_t>(std::count_if(claims.begin(), end,
        [&](claim const& it)
        { return d.instances[it.instance].name == name; }));
}

} // namespace

auto connection_shares(std::span<shared_target const> targets,
    std::span<instance_record const> instances, instance_record const& self)
    -> std::vector<std::uint32_t>
{
    auto const d = make_division(targets, instances);
    auto shares = std::vector<std::uint32_t>{};
    for (std::size_t t = 0; t < targets.size(); ++t)
        shares.push_back(granted_to(d, t, self.name));
    return shares;
}

} // namespace knapweedstream::dispatch
