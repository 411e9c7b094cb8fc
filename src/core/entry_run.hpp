/// Runs of a query at its entry: asking owners, canaries, second runs, ending.
#ifndef KNAPWEEDSTREAM_CORE_ENTRY_RUN_HPP
#define KNAPWEEDSTREAM_CORE_ENTRY_RUN_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Sends shards to their next owners; those without one are given up.
auto ask_owners(node_state& s, query_entry& e,
    std::vector<shard_id> const& shards, bool suspected, shard_failure reason,
    time_point now) -> void;

/// Asks all shards that nobody has been asked for.
auto ask_remaining_shards(node_state& s, query_entry& e, time_point now)
    -> void;

/// Starts a run at the pinned snapshot.
auto start_run(node_state& s, query_entry& e, time_point now) -> void;

/// Starts again at another snapshot if that covers more.
///
/// @returns True if a new run was started.
auto rerun(node_state& s, query_entry& e, time_point now) -> bool;

/// The map changed under the query: its shards no longer mean the same.
auto shard_map_changed(node_state const& s, query_entry const& e) -> bool;

/// The canary ended without rows: tries another shard, then the rest.
auto next_canary(node_state& s, query_entry& e, shard_id failed, time_point now)
    -> void;

/// Tells the owners of a run that no further answer is wanted.
auto cancel_run(node_state& s, query_entry const& e) -> void;

/// Removes a query and frees what it was admitted to.
auto close_query(node_state& s, query_id id) -> void;

/// Merges what came and answers the caller.
auto finish(node_state& s, query_id id, time_point now, commands& out) -> void;

/// Refuses a query; it was not run.
auto refuse(node_state& s, caller_id caller, std::string const& customer,
    refusal const& reason, commands& out) -> void;

/// The shard that a new request runs on first.
auto canary_shard(query_entry const& e) -> shard_id;

} // namespace knapweedstream

#endif
