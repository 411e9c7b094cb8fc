/// Where a query goes: the snapshot it is pinned to, the owners it asks.
#ifndef KNAPWEEDSTREAM_CORE_ROUTING_HPP
#define KNAPWEEDSTREAM_CORE_ROUTING_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Handle of a customer's service.
auto service_of(customer_id customer, std::string_view service) -> service_id;

/// Shard that holds an item, of `n` shards.
auto shard_of_item(std::string_view item, std::size_t n) -> shard_id;

/// Snapshot that most shards of the service can serve at present.
auto choose_snapshot(node_state const& s, service_entry const& service)
    -> snapshot;

/// Index of the best owner of a shard for a request.
///
/// @param[in] asked Owners asked already, as a bit set.
/// @param[in] print Spreads requests over an owner that has targets to warm.
/// @returns The number of owners if there is none.
auto next_owner(node_state const& s, shard_entry const& shard,
    std::uint32_t asked, fingerprint print) -> std::size_t;

} // namespace knapweedstream

#endif
