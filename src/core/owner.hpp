/// Owner side of a query: replica choice, hedges, retries and deadlines of the
/// shards that an entry instance requests from this node.
#ifndef KNAPWEEDSTREAM_CORE_OWNER_HPP
#define KNAPWEEDSTREAM_CORE_OWNER_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// The target returned the rows of the shard.
struct ended_rows
{
    shard_rows rows;
};

/// The target executed the booking.
struct ended_booked
{
    std::string reference;
};

/// The request was not executed: the target shed it, or the connection closed
/// before anything was written to it.
struct ended_not_run
{
};

/// The target does not serve the requested snapshot; it did not execute the
/// request.
struct ended_wrong_snapshot
{
};

/// The target abandoned the request because it was cancelled or late.
struct ended_cancelled
{
};

/// The target answered with an error, or with an answer that does not belong to
/// the request; it may have executed the request.
struct ended_failed
{
};

/// The connection was lost; the target may have executed the request.
struct ended_lost
{
};

/// Outcome of an attempt.
using attempt_end = std::variant<ended_rows, ended_booked, ended_not_run,
    ended_wrong_snapshot, ended_cancelled, ended_failed, ended_lost>;

/// Handles a sub-query: dispatches the shards that an entry instance requests.
/// Further sub-queries with the same id add shards to the first.
auto on_sub_query(node_state& s, instance_id from, sub_query const& q,
    time_point now, commands& out) -> void;

/// Cancels a sub-query whose entry instance needs no further answer.
auto on_sub_cancel(node_state& s, instance_id from, sub_cancel const& m,
    time_point now, commands& out) -> void;

/// Handles the end of an attempt: accepts its rows, retries or fails the part.
auto on_attempt_end(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void;

/// Hedges the parts of a sub-query that have not answered within the hedge
/// delay.
auto on_hedge_due(
    node_state& s, hedge_due const& e, time_point now, commands& out) -> void;

/// Handles the deadline of a sub-query: fails its unanswered parts, so that the
/// entry instance gets a partial answer.
auto on_sub_due(node_state& s, sub_due const& e, time_point now, commands& out)
    -> void;

/// Dispatches a queued part if a replica can take it now.
///
/// @returns True if the part leaves the queue: it was sent or has ended.
auto dispatch_queued(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool;

/// True if the part belongs to a suspected request. Such a part may have to
/// wait while later parts in the shard's queue can be sent.
auto is_suspected_part(node_state const& s, part_key const& key) -> bool;

/// Fails queued parts that no replica can serve any more, then dispatches from
/// the queue.
auto prune_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void;

/// Posts the results collected since the last flush to their entry instances,
/// and drops sub-queries that are complete.
auto flush_answers(node_state& s) -> void;

} // namespace knapweedstream

#endif
