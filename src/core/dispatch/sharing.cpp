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

auto rank_of(target_id target, std::string const& instance) -> std::uint64_t
{
    return hash_name(instance, target.value);
}

/// Place of a target among the far targets of its service for an instance.
auto far_place(shared_target const& t, std::span<shared_target const> all,
    instance_record const& r) -> std::uint32_t
{
    auto const mine = rank_of(t.id, r.name);
    auto n = 0u;
    for (auto const& it : all)
        if (it.region != r.region && it.id != t.id)
            n += rank_of(it.id, r.name) < mine ? 1 : 0;
    return n;
}

auto count_far(std::span<shared_target const> all, instance_record const& r)
    -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(),
        [&](shared_target const& it) { return it.region != r.region; }));
}

auto claims_on(shared_target const& t, std::span<shared_target const> all,
    std::span<instance_record const> instances) -> std::vector<claim>
{
    auto claims = std::vector<claim>{};
    for (std::size_t i = 0; i < instances.size(); ++i)
    {
        auto const& r = instances[i];
        auto const near = r.region == t.region;
        auto const rank = rank_of(t.id, r.name);
        auto const place = near ? 0 : far_place(t, all, r);
        auto const far = count_far(all, r);
        auto const most = near ? max_near_connections : max_far_connections;
        for (auto n = 0u; n < most; ++n)
            claims.push_back(
                {near ? 2 * n : 2 * (place + n * far) + 1, rank, i});
    }
    return claims;
}

} // namespace

auto connection_share(shared_target const& t,
    std::span<shared_target const> all,
    std::span<instance_record const> instances, instance_record const& self)
    -> std::uint32_t
{
    auto claims = claims_on(t, all, instances);
    auto const granted = std::min<std::size_t>(claims.size(), t.connections);
    auto const end = claims.begin() + static_cast<std::ptrdiff_t>(granted);
    std::nth_element(claims.begin(), end, claims.end());
    return static_cast<std::uint32_t>(std::count_if(claims.begin(), end,
        [&](claim const& it)
        { return instances[it.instance].name == self.name; }));
}

} // namespace knapweedstream::dispatch
