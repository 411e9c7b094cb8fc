/// The owner's side of a query: replica choice, hedges, retries, deadlines.
#ifndef KNAPWEEDSTREAM_CORE_OWNER_HPP
#define KNAPWEEDSTREAM_CORE_OWNER_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Rows came.
struct ended_rows
{
    shard_rows rows;
};

/// A booking was run.
struct ended_booked
{
    std::string reference;
};

/// The target did not run the request.
struct ended_not_run
{
};

/// The target does not serve the wanted snapshot.
struct ended_wrong_snapshot
{
};

/// The target gave the request up as asked.
struct ended_cancelled
{
};

/// The target answered with a failure; it may have run the request.
struct ended_failed
{
};

/// The connection was lost; the target may have run the request.
struct ended_lost
{
};

/// How an attempt ended.
using attempt_end = std::variant<ended_rows, ended_booked, ended_not_run,
    ended_wrong_snapshot, ended_cancelled, ended_failed, ended_lost>;

/// An entry asks for shards.
auto on_sub_query(node_state& s, instance_id from, sub_query const& q,
    time_point now, commands& out) -> void;

/// An entry wants no further answer.
auto on_sub_cancel(node_state& s, instance_id from, sub_cancel const& m,
    time_point now, commands& out) -> void;

/// An attempt of a sub-query ended.
auto on_attempt_end(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void;

/// Time to hedge a shard that has not answered.
auto on_hedge_due(
    node_state& s, hedge_due const& e, time_point now, commands& out) -> void;

/// Time to answer with what there is.
auto on_sub_due(node_state& s, sub_due const& e, time_point now, commands& out)
    -> void;

/// Sends a queued part if it can go now.
///
/// @returns True if the part needs its place in the queue no longer.
auto dispatch_queued(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool;

/// True if the part belongs to a suspected request, which may have to wait
/// while others of its shard can go.
auto is_suspected_part(node_state const& s, part_key const& key) -> bool;

/// Gives up queued parts that no replica can take any more.
auto review_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void;

/// Queues the answers that became ready in this turn.
auto flush_answers(node_state& s) -> void;

} // namespace knapweedstream

#endif
