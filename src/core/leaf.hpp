/// Connections to targets and the attempts that run on them.
#ifndef KNAPWEEDSTREAM_CORE_LEAF_HPP
#define KNAPWEEDSTREAM_CORE_LEAF_HPP

#include "core/leaf_room.hpp"

#include <optional>

namespace knapweedstream
{

/// Opens connections up to this owner's share, one at a time.
auto open_connections(
    node_state& s, target_id id, time_point now, commands& out) -> void;

/// Closes a target's connections, as for one that is no longer owned.
auto close_connections(node_state& s, target_id id, commands& out) -> void;

/// Takes an idle connection of the target for a new attempt.
auto start_attempt(node_state& s, target_entry& t, attempt const& wanted,
    time_point now) -> attempt;

/// Asks the target to give up the attempt.
auto cancel_attempt(node_state& s, attempt_id id, time_point now, commands& out)
    -> void;

/// Chooses a target with room.
///
/// @param[in] usable Further condition on the target.
template <class Predicate>
auto choose_target(node_state& s, shard_entry& shard, time_point now,
    Predicate usable) -> target_entry*
{
    auto candidates = std::vector<candidate>{};
    for (auto const id : shard.replicas)
    {
        auto const& t = s.targets.at(id);
        if (!has_room(s, t, shard, now) || !usable(t.value))
            continue;
        candidates.push_back({id, t.value.in_flight,
            limit_of(s, t.value, shard, now), t.value.latency_us});
    }
    if (candidates.empty())
        return nullptr;
    auto const choice = select(shard.replica_selector, candidates, s.random);
    shard.replica_selector = choice.next;
    s.random = choice.random;
    return &s.targets.at(candidates[choice.index].target);
}

/// A connection stands; work that waits may go.
auto on_leaf_opened(
    node_state& s, leaf_opened const& e, time_point now, commands& out) -> void;
/// A connection was lost, or could not be opened.
auto on_leaf_closed(
    node_state& s, leaf_closed const& e, time_point now, commands& out) -> void;
/// A target answered.
auto on_leaf_answered(node_state& s, leaf_answered const& e, time_point now,
    commands& out) -> void;
/// A cancelled attempt is still silent: condemns its connection.
auto on_cancel_due(
    node_state& s, cancel_due const& e, time_point now, commands& out) -> void;
/// A connection has taken too long to open.
auto on_open_due(
    node_state& s, open_due const& e, time_point now, commands& out) -> void;

/// Gives work that waits for a connection of the shard to free ones.
auto serve_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
