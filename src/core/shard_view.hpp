/// Views of shards that owners announce to their peers: the index versions that
/// a shard can serve, and the warmth of its targets.
#ifndef KNAPWEEDSTREAM_CORE_SHARD_VIEW_HPP
#define KNAPWEEDSTREAM_CORE_SHARD_VIEW_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Handles the warmth of a target as announced by a co-owner.
auto on_target_warmth(node_state& s, target_warmth const& m, time_point now,
    commands& out) -> void;

/// Announces the warmth of a target to the co-owners of its shard.
auto announce_warmth(node_state& s, target const& t) -> void;

/// Recomputes the view of an owned shard; sends it to all live peers if it
/// changed.
auto refresh_view(node_state& s, service_id service, shard_id shard) -> void;

/// Stores the view of a shard that an owner announced.
auto store_view(shard_entry& shard, instance_id from, shard_view const& view)
    -> void;

/// Hash of the views received from an instance. It differs from the digest that
/// the instance sends if a view was missed.
auto view_digest(node_state const& s, instance_id from) -> std::uint64_t;

/// Sends all views of this node to a peer.
auto send_views(node_state& s, instance_id to) -> void;

/// Stores views that an owner announced; views of another shard map are
/// ignored. A complete set replaces all earlier views of the owner.
auto on_shard_views(node_state& s, instance_id from, shard_views const& m)
    -> void;

} // namespace knapweedstream

#endif
