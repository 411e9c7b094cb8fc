/// Routing of queries: the snapshot to pin and the owners to ask.
#ifndef KNAPWEEDSTREAM_CORE_ROUTING_HPP
#define KNAPWEEDSTREAM_CORE_ROUTING_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Handle of a service, derived from customer and name.
auto service_of(customer_id customer, std::string_view service) -> service_id;

/// Shard that holds an item, if the service has `n` shards.
auto shard_of_item(std::string_view item, std::size_t n) -> shard_id;

/// Snapshot that most shards of the service can serve now.
///
/// @returns The snapshot; its index version is 0 if no shard serves any.
auto choose_snapshot(node_state const& s, service_entry const& service)
    -> snapshot;

/// Rank of the owner to ask next for a shard: this node, else an owner in its
/// availability zone, else the first in rank. For half of the fingerprints, an
/// owner that has a replica to warm comes first.
///
/// @param[in] asked Bit set of the ranks of owners already asked.
/// @param[in] print Fingerprint of the request.
/// @returns The number of owners if none that takes work is left.
auto next_owner(node_state const& s, shard_entry const& shard,
    std::uint32_t asked, fingerprint print) -> std::size_t;

} // namespace knapweedstream

#endif
