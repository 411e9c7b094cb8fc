/// Which instances own which shards, and what part of each target is theirs.
#ifndef KNAPWEEDSTREAM_CORE_OWNERSHIP_HPP
#define KNAPWEEDSTREAM_CORE_OWNERSHIP_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Instances that may own shards.
auto owner_candidates(node_state const& s) -> std::vector<rendezvous_node>;

/// Assigns shards to owners anew after a change of members or configuration.
auto rebuild_ownership(node_state& s, time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
