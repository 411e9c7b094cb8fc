#include "core/routing.hpp"

#include "core/membership.hpp"

namespace knapweedstream
{

namespace
{

/// Index versions that a shard can serve, as announced by those of its owners
/// that take work.
auto served_versions(node_state const& s, shard_entry const& shard)
    -> std::vector<std::uint64_t>
{
    auto all = std::vector<std::uint64_t>{};
    for (auto const owner : shard.owners)
    {
        auto const it = shard.views.find(owner);
        if (it != shard.views.end() && can_take_work(s, owner))
            all.insert(all.end(), it->second.begin(), it->second.end());
    }
    return all;
}

} // namespace

auto service_of(customer_id customer, std::string_view service) -> service_id
{
    return service_id{hash_name(service, customer.value)};
}

auto shard_of_item(std::string_view item, std::size_t n) -> shard_id
{
    return shard_id{static_cast<std::uint32_t>(hash_name(item) % n)};
}

auto choose_snapshot(node_state const& s, service_entry const& service)
    -> snapshot
{
    auto served = std::vector<std::vector<std::uint64_t>>{};
    served.reserve(service.shards.size());
    for (auto const& it : service.shards)
        served.push_back(served_versions(s, it));
    return {service.info.epoch, choose_version(served)};
}

auto next_owner(node_state const& s, shard_entry const& shard,
    std::uint32_t asked, fingerprint print) -> std::size_t
{
    auto const to_warm = (print.value & 1) != 0;
    auto best = shard.owners.size();
    auto best_score = -1;
    for (std::size_t i = 0; i < shard.owners.size(); ++i)
    {
        auto const id = shard.owners[i];
        if ((asked >> i & 1) != 0 || !can_take_work(s, id))
            continue;
        auto const local = id == s.self;
        auto const near = !local && in_own_zone(s, id);
        auto const warms = to_warm && id == shard.warming_owner;
        auto const score = warms ? 3 : local ? 2 : near ? 1 : 0;
        if (score > best_score)
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

} // namespace knapweedstream
