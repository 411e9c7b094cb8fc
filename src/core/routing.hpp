/// Where a query goes: the snapshot it is pinned to, the owners it asks.
#ifndef KNAPWEEDSTREAM_CORE_ROUTING_HPP
#define KNAPWEEDSTREAM_CORE_ROUTING_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Snapshot that most shards of the service can serve at present.
auto pin(node_state const& s, service_entry const& service) -> snapshot;

/// Index of the best owner of a shard for a request.
///
/// @param[in] asked Owners asked already, as a bit set.
/// @param[in] print Spreads requests over an owner that has targets to warm.
/// @returns The number of owners if there is none.
auto next_owner(node_state const& s, shard_entry const& shard,
    std::uint32_t asked, fingerprint print) -> std::size_t;

} // namespace knapweedstream

#endif
