/// Capacity of a target that is available to this owner.
#ifndef KNAPWEEDSTREAM_CORE_TARGET_CAPACITY_HPP
#define KNAPWEEDSTREAM_CORE_TARGET_CAPACITY_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Finds a shard of a service; null if the configuration no longer has it.
auto find_shard(node_state& s, service_id service, shard_id shard)
    -> shard_entry*;

/// Requests that this owner may have in flight on the target: its full share if
/// slow start is disabled, else `concurrency_limit`.
auto effective_limit(node_state const& s, target const& t,
    shard_entry const& shard, time_point now) -> std::uint32_t;

/// True if the target can take one more request on an idle connection.
auto has_capacity(node_state const& s, target_entry const& t,
    shard_entry const& shard, time_point now) -> bool;

} // namespace knapweedstream

#endif
