#include "core/target_capacity.hpp"

#include "core/target.hpp"

namespace knapweedstream
{

auto find_shard(node_state& s, service_id service, shard_id shard)
    -> shard_entry*
{
    auto const it = s.services.find(service);
    if (it == s.services.end() || shard.value >= it->second.shards.size())
        return nullptr;
    return &it->second.shards[shard.value];
}

auto effective_limit(node_state const& s, target const& t,
    shard_entry const& shard, time_point now) -> std::uint32_t
{
    if (!s.init.policy.slow_start)
        return shard.share.concurrency;
    return concurrency_limit(t, shard.share, now);
}

auto has_capacity(node_state const& s, target_entry const& t,
    shard_entry const& shard, time_point now) -> bool
{
    return !t.idle.empty() && !is_unavailable(t.value, now) &&
           t.value.in_flight < effective_limit(s, t.value, shard, now);
}

} // namespace knapweedstream
