/// Rollouts of this node's services: version choice, fault detection, and the
/// instance that drives the steps.
#ifndef KNAPWEEDSTREAM_CORE_ROLLOUT_DRIVER_HPP
#define KNAPWEEDSTREAM_CORE_ROLLOUT_DRIVER_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Chooses the version for a run of a query, the same for all its shards and
/// retries.
auto choose_version_for(service_entry const& service, run_id const& run)
    -> version_choice;

/// True if the target's version may serve a request with that choice.
auto matches_version(
    target const& t, rollout_policy const& policy, version_choice c) -> bool;

/// Records the result of an attempt for the target's version. If it shows that
/// the new version is faulty, stops that version at once and tells the peers.
auto record_version_result(node_state& s, target const& t, bool failed,
    double latency_us, commands& out) -> void;

/// Advances the rollouts that this node drives, sends the state of each to a
/// random peer, and the outcomes seen here to its driver. Called in each
/// heartbeat round.
auto drive_rollouts(node_state& s, time_point now, commands& out) -> void;

/// Handles the state of a rollout as stored in the platform.
auto on_rollout_stored(node_state& s, rollout_stored const& e, commands& out)
    -> void;
/// Makes the drivers read their rollouts again before they write.
auto reload_rollouts(node_state& s) -> void;
/// Handles a failed read or write of a rollout, or one whose answer was lost;
/// the driver reads the rollout again.
auto on_rollout_failed(node_state& s, rollout_failed const& e) -> void;
/// Handles the state of a rollout sent by a peer.
auto on_rollout_update(node_state& s, instance_id from, rollout_update const& m,
    commands& out) -> void;
/// Takes over the outcomes that an owner has observed; as the driver, stops the
/// new version if all owners' outcomes together show that it is faulty.
auto on_version_outcomes(node_state& s, instance_id from,
    version_outcomes const& m, commands& out) -> void;
/// Stops a new version that a peer found faulty.
auto on_version_fault(node_state& s, version_fault const& m, commands& out)
    -> void;

} // namespace knapweedstream

#endif
