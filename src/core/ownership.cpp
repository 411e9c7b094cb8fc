#include "core/ownership.hpp"

#include "core/leaf.hpp"
#include "core/owner.hpp"
#include "core/shard_view.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Concurrency on a target below which another owner is not worthwhile.
constexpr auto min_owner_concurrency = 2u;

auto is_zone_excluded(node_state const& s, std::string const& zone) -> bool
{
    return std::any_of(s.customers.begin(), s.customers.end(),
        [&](auto const& it)
        {
            auto const& out = it.second.config.zones_out;
            return std::find(out.begin(), out.end(), zone) != out.end();
        });
}

/// Requests that all owners together may have in flight on one target.
auto total_concurrency(target_limits const& limits, node_limits const& node)
    -> std::uint32_t
{
    auto const by_slots = limits.slots * node.queue_depth_per_slot;
    auto const by_connections = std::max(1u, limits.connections / 4);
    return std::max(1u, std::min(by_slots, by_connections));
}

auto owner_count(std::uint32_t total, std::size_t live, node_limits const& node)
    -> std::uint32_t
{
    auto const wanted = std::max(2u, total / min_owner_concurrency);
    auto const most = std::min<std::size_t>(node.max_owners, live);
    auto const n = std::min<std::size_t>({wanted, most, total});
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, n));
}

auto assign(node_state& s, service_id id, service_entry& service,
    std::vector<rendezvous_node> const& live, commands& out) -> void
{
    auto const total = total_concurrency(service.info.limits, s.init.limits);
    auto const n = owner_count(total, live.size(), s.init.limits);
    for (std::uint32_t i = 0; i < service.shards.size(); ++i)
    {
        auto& shard = service.shards[i];
        auto const before = shard.owned;
        shard.owners = rendezvous(hash_name("shard", id.value + i), live, n);
        shard.owned = std::find(shard.owners.begin(), shard.owners.end(),
                          s.self) != shard.owners.end();
        shard.share.primary = shard.owned && shard.owners.front() == s.self;
        shard.share.concurrency = std::max(
            1u, total / static_cast<std::uint32_t>(shard.owners.size()));
        if (!before || shard.owned)
            continue;
        shard.announced = {};
        store_view(shard, s.self, {});
        for (auto const it : shard.replicas)
            close_connections(s, it, out);
    }
}

/// Opens connections, refreshes views and prunes queues of a service's shards.
auto refresh_shards(node_state& s, service_id id, time_point now, commands& out)
    -> void
{
    auto const n = s.services.at(id).shards.size();
    for (std::uint32_t i = 0; i < n; ++i)
    {
        auto& shard = s.services.at(id).shards[i];
        for (auto const it : shard.replicas)
            open_connections(s, it, now, out);
        refresh_view(s, id, shard_id{i});
        prune_queue(s, shard, now, out);
    }
}

} // namespace

auto owner_candidates(node_state const& s) -> std::vector<rendezvous_node>
{
    auto all = std::vector<rendezvous_node>{};
    auto not_excluded = std::vector<rendezvous_node>{};
    auto const add = [&](instance_id id, std::string const& zone)
    {
        auto const it = rendezvous_node{id, id_of<zone_id>(zone)};
        all.push_back(it);
        if (!is_zone_excluded(s, zone))
            not_excluded.push_back(it);
    };
    add(s.self, s.init.self.zone);
    for (auto const& [id, m] : s.members)
        if (takes_work(m))
            add(id, m.info.zone);
    return not_excluded.empty() ? all : not_excluded;
}

auto rebuild_ownership(node_state& s, time_point now, commands& out) -> void
{
    auto const live = owner_candidates(s);
    auto ids = std::vector<service_id>{};
    for (auto& [id, service] : s.services)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (auto const id : ids)
        assign(s, id, s.services.at(id), live, out);
    for (auto const id : ids)
        refresh_shards(s, id, now, out);
}

} // namespace knapweedstream
