/// Membership: which instances exist and which of them take work, by heartbeats
/// and the platform's list.
#ifndef KNAPWEEDSTREAM_CORE_MEMBERSHIP_HPP
#define KNAPWEEDSTREAM_CORE_MEMBERSHIP_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// True if the instance may be given new work; always true for this node.
auto can_take_work(node_state const& s, instance_id id) -> bool;

/// True if the instance is a known peer in this node's availability zone.
auto in_own_zone(node_state const& s, instance_id id) -> bool;

/// Time an owner has to answer before it is checked: several round trips, at
/// least `owner_check`.
auto owner_timeout(node_state const& s, instance_id id) -> duration;

/// Probes a peer that was neither heard from nor probed within `owner_timeout`.
auto probe_if_quiet(node_state& s, instance_id id, time_point now) -> void;

/// Checks whether a peer is alive; probes it if it has not been heard from
/// lately.
///
/// @returns False if the peer is unknown, suspected or not yet heard from.
auto check_peer(node_state& s, instance_id id, time_point now, commands& out)
    -> bool;

/// Sends a peer the digests of this node's configurations and views, so that it
/// requests what it lacks.
auto announce_digest(node_state& s, instance_id peer) -> void;

/// Chooses up to `n` different live peers at random, other than `except`.
auto random_peers(node_state& s, std::uint32_t n, instance_id except = {})
    -> std::vector<instance_id>;

/// Handles a probe from a peer, or its answer to a probe.
auto on_heartbeat(node_state& s, instance_id from, heartbeat const& m,
    time_point now, commands& out) -> void;
/// Runs a heartbeat round: suspects silent peers and probes members. Starts or
/// stops watching the platform's configuration when this node becomes or ceases
/// to be one of the few instances that watch it.
auto on_heartbeat_due(node_state& s, time_point now, commands& out) -> void;
/// Handles the platform's list of instances: probes new ones, and drops those
/// that are not alive and were neither listed nor heard from for a minute.
auto on_instances_listed(node_state& s, instances_listed const& e,
    time_point now, commands& out) -> void;
/// Handles a peer's suspicion of another: probes the suspect at once and checks
/// later whether it has answered.
auto on_peer_suspicion(node_state& s, peer_suspicion const& m, time_point now)
    -> void;

/// Checks whether a probed peer has answered.
auto on_peer_check_due(node_state& s, peer_check_due const& e, time_point now,
    commands& out) -> void;

/// Records that an instance sent something; one that was not alive joins.
auto on_heard_from(
    node_state& s, instance_id from, time_point now, commands& out) -> void;

/// Restarts the timeout of unanswered probes after this process was suspended,
/// so that peers are not suspected for its own pause.
auto reset_unanswered_probes(node_state& s, time_point now) -> void;

} // namespace knapweedstream

#endif
