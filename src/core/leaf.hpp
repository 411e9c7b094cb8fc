/// Connections to targets, called leaf connections, and the attempts in flight
/// on them.
#ifndef KNAPWEEDSTREAM_CORE_LEAF_HPP
#define KNAPWEEDSTREAM_CORE_LEAF_HPP

#include "core/target_capacity.hpp"

#include <optional>

namespace knapweedstream
{

/// Opens a connection to a target of an owned shard: one at a time, and up to
/// this owner's concurrency on the target plus one. After a failed connect, the
/// next one waits for `connect_backoff`.
auto open_connections(
    node_state& s, target_id id, time_point now, commands& out) -> void;

/// Closes the target's connections that carry no attempt, for example when its
/// shard is no longer owned.
auto close_connections(node_state& s, target_id id, commands& out) -> void;

/// Starts an attempt on an idle connection of the target.
///
/// @param[in] wanted Part, kind, fingerprint and claim token of the attempt.
/// @returns The attempt with its id, target, connection and send time.
auto start_attempt(node_state& s, target_entry& t, attempt const& wanted,
    time_point now) -> attempt;

/// Asks the target to abandon an attempt. Its connection is closed if the
/// target does not answer within the cancel grace period.
auto cancel_attempt(node_state& s, attempt_id id, time_point now, commands& out)
    -> void;

/// Chooses a target of the shard that has capacity; null if there is none.
///
/// @param[in] usable Further condition that the target must meet.
template <class Predicate>
auto choose_target(node_state& s, shard_entry& shard, time_point now,
    Predicate usable) -> target_entry*
{
    auto candidates = std::vector<candidate>{};
    for (auto const id : shard.replicas)
    {
        auto const& t = s.targets.at(id);
        if (!has_capacity(s, t, shard, now) || !usable(t.value))
            continue;
        candidates.push_back({id, t.value.in_flight,
            effective_limit(s, t.value, shard, now), t.value.latency_us});
    }
    if (candidates.empty())
        return nullptr;
    auto const choice = select(shard.replica_selector, candidates, s.random);
    shard.replica_selector = choice.next;
    s.random = choice.random;
    return &s.targets.at(candidates[choice.index].target);
}

/// Handles an established connection: dispatches queued work and opens the next
/// connection.
auto on_leaf_opened(
    node_state& s, leaf_opened const& e, time_point now, commands& out) -> void;
/// Handles a connection that was lost or could not be opened.
auto on_leaf_closed(
    node_state& s, leaf_closed const& e, time_point now, commands& out) -> void;
/// Handles the answer of a target.
auto on_leaf_answered(node_state& s, leaf_answered const& e, time_point now,
    commands& out) -> void;
/// Handles a cancelled attempt, or a booking past its deadline, that has not
/// ended in time: closes its connection, and the target's idle connections that
/// have received nothing since the attempt was sent. Counts a failure of the
/// target unless another idle connection has received an answer since.
auto on_cancel_due(
    node_state& s, cancel_due const& e, time_point now, commands& out) -> void;
/// Closes a connection that was not established in time.
auto on_connect_timeout_due(node_state& s, connect_timeout_due const& e,
    time_point now, commands& out) -> void;

/// Dispatches the shard's queued bookings and parts to targets with capacity.
auto serve_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
