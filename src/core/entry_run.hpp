/// Runs of a query at its entry instance: asking owners, canaries, reruns,
/// completion. Each run of a query asks all shards for one pinned snapshot.
#ifndef KNAPWEEDSTREAM_CORE_ENTRY_RUN_HPP
#define KNAPWEEDSTREAM_CORE_ENTRY_RUN_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Asks the next owner of each shard. A shard without a further owner is given
/// up, or asked again later if the reason is `not_owner`.
///
/// @param[in] suspected A target was lost with the request: asks only the
///     primary owner, and only once.
/// @param[in] reason Recorded for shards that are given up.
auto ask_owners(node_state& s, query_entry& e,
    std::vector<shard_id> const& shards, bool suspected, shard_failure reason,
    time_point now) -> void;

/// Ends the canary phase and asks for all shards not asked for so far.
auto ask_remaining_shards(node_state& s, query_entry& e, time_point now)
    -> void;

/// Starts a run at the pinned snapshot, with a canary if the request is not
/// known to be safe.
auto start_run(node_state& s, query_entry& e, time_point now) -> void;

/// Starts another run if the best snapshot is now a different one.
///
/// @returns False if no run was started: no other snapshot, too many runs, or
///     too little time left.
auto rerun(node_state& s, query_entry& e, time_point now) -> bool;

/// True if the shard map changed while the query ran, so that its shard numbers
/// no longer mean the same shards.
auto shard_map_changed(node_state const& s, query_entry const& e) -> bool;

/// Tries another canary shard after one that gave no rows; after too many, asks
/// for all remaining shards.
auto next_canary(node_state& s, query_entry& e, shard_id failed, time_point now)
    -> void;

/// Tells the owners that still work on a run to stop.
auto cancel_run(node_state& s, query_entry const& e) -> void;

/// Removes a query and releases its admission slots.
auto close_query(node_state& s, query_id id) -> void;

/// Merges the rows received and answers the caller.
auto finish(node_state& s, query_id id, time_point now, commands& out) -> void;

/// Refuses a query and counts the refusal.
auto refuse(node_state& s, caller_id caller, std::string const& customer,
    refusal const& reason, commands& out) -> void;

/// Shard on which a canary runs, determined by the fingerprint and the number
/// of tries.
auto canary_shard(query_entry const& e) -> shard_id;

} // namespace knapweedstream

#endif
