/// Assigns shards to owner instances, and each owner its share of the targets.
#ifndef KNAPWEEDSTREAM_CORE_OWNERSHIP_HPP
#define KNAPWEEDSTREAM_CORE_OWNERSHIP_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Instances that may own shards: those that take work and are in no excluded
/// availability zone, or all that take work if there is no such instance.
auto owner_candidates(node_state const& s) -> std::vector<rendezvous_node>;

/// Reassigns shards to owners after a change of members or configuration, and
/// updates connections, views and queues.
auto rebuild_ownership(node_state& s, time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
