/// Rollouts of this node's services: who drives, who is told, what is sent.
#ifndef KNAPWEEDSTREAM_CORE_ROLLOUT_DRIVER_HPP
#define KNAPWEEDSTREAM_CORE_ROLLOUT_DRIVER_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Chooses a version for a run, the same for all its shards and retries.
auto choose_version_for(service_entry const& service, run_id const& run)
    -> version_choice;

/// True if the target may serve a request with that choice.
auto matches_version(
    target const& t, rollout_policy const& policy, version_choice c) -> bool;

/// Learns from an attempt; a faulty new version is stopped at once.
auto record_version_result(node_state& s, target const& t, bool failed,
    double latency_us, commands& out) -> void;

/// Drives the rollouts that fall to this node; called at each heartbeat round.
auto drive_rollouts(node_state& s, time_point now, commands& out) -> void;

/// The platform told the state of a rollout.
auto on_rollout_stored(node_state& s, rollout_stored const& e, commands& out)
    -> void;
/// A read or write of a rollout failed, or its answer was lost.
auto on_rollout_failed(node_state& s, rollout_failed const& e) -> void;
/// A peer told the state of a rollout.
auto on_rollout_update(node_state& s, instance_id from, rollout_update const& m,
    commands& out) -> void;
/// A peer saw the new version fail.
auto on_version_fault(node_state& s, version_fault const& m, commands& out)
    -> void;

} // namespace knapweedstream

#endif
