/// What owners tell each other and the entries of a shard: the index versions
/// it can serve, and how warm its targets are.
#ifndef KNAPWEEDSTREAM_CORE_SHARD_VIEW_HPP
#define KNAPWEEDSTREAM_CORE_SHARD_VIEW_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// A co-owner tells the warmth of a target.
auto on_target_warmth(node_state& s, target_warmth const& m, time_point now,
    commands& out) -> void;

/// Tells co-owners what this node knows of a target's warmth.
auto announce_warmth(node_state& s, target const& t) -> void;

/// Recomputes which versions a shard can serve; tells peers if it changed.
auto refresh_view(node_state& s, service_id service, shard_id shard) -> void;

/// Stores what an owner tells of a shard.
auto store_view(shard_entry& shard, instance_id from, shard_view const& view)
    -> void;

/// Hash of the views that an instance has told, to compare with its own.
auto view_digest(node_state const& s, instance_id from) -> std::uint64_t;

/// Sends all views of this node to a peer.
auto send_views(node_state& s, instance_id to) -> void;

/// An owner told what its shards can serve.
auto on_shard_views(node_state& s, instance_id from, shard_views const& m)
    -> void;

} // namespace knapweedstream

#endif
