/// Which instances exist, which of them take work, and who owns what.
#ifndef KNAPWEEDSTREAM_CORE_MEMBERSHIP_HPP
#define KNAPWEEDSTREAM_CORE_MEMBERSHIP_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// True if the instance may be given new work.
auto can_take_work(node_state const& s, instance_id id) -> bool;

/// True if the instance is in this node's availability zone.
auto in_own_zone(node_state const& s, instance_id id) -> bool;

/// Time an owner gets before it is looked after.
auto owner_timeout(node_state const& s, instance_id id) -> duration;

/// Probes a peer that has not been heard lately.
auto probe_if_quiet(node_state& s, instance_id id, time_point now) -> void;

/// Looks whether a peer is there; probes it if that is not known.
///
/// @returns False if the peer is suspected.
auto check_peer(node_state& s, instance_id id, time_point now, commands& out)
    -> bool;

/// Tells a peer which versions are in force; it asks for what it lacks.
auto announce_digest(node_state& s, instance_id peer) -> void;

/// Random live peers, to be told of something.
auto random_peers(node_state& s, std::uint32_t n, instance_id except = {})
    -> std::vector<instance_id>;

/// A peer probed this node, or answered its probe.
auto on_heartbeat(node_state& s, instance_id from, heartbeat const& m,
    time_point now, commands& out) -> void;
/// Time for a round of probes.
auto on_heartbeat_due(node_state& s, time_point now, commands& out) -> void;
/// The platform listed the instances.
auto on_instances_listed(node_state& s, instances_listed const& e,
    time_point now, commands& out) -> void;
/// A peer found another silent: probes it at once.
auto on_peer_suspicion(node_state& s, peer_suspicion const& m, time_point now)
    -> void;

/// Looks whether the probed peer has answered.
auto on_peer_due(
    node_state& s, peer_due const& e, time_point now, commands& out) -> void;

/// Notes that the instance sent something.
auto on_heard_from(
    node_state& s, instance_id from, time_point now, commands& out) -> void;

/// The process was stopped for a while: nobody else is to blame.
auto reset_unanswered_probes(node_state& s, time_point now) -> void;

} // namespace knapweedstream

#endif
