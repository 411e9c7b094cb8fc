/// Parts of a sub-query at its owner: dispatch, queueing, hedging and
/// completion. A part is one shard of the sub-query.
#ifndef KNAPWEEDSTREAM_CORE_OWNER_PARTS_HPP
#define KNAPWEEDSTREAM_CORE_OWNER_PARTS_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Finds a part; null if its sub-query has ended.
auto find_part(node_state& s, part_key const& key) -> part*;

/// Number of attempts of the part that are in flight.
auto running_count(part const& p) -> std::size_t;

/// Returns the part without the given attempt in flight.
auto without_attempt(part const& p, attempt_id id) -> part;

/// Ends a part without rows and adds the reason to the answer for the entry
/// instance.
auto fail_part(node_state& s, part_key const& key, shard_failure reason,
    time_point now, commands& out) -> void;

/// Ends a part, cancels its attempts in flight, and marks the answer of the
/// sub-query for the next flush.
auto end_part(node_state& s, part_key const& key, sub_query_entry& e,
    time_point now, commands& out) -> void;

/// Sends the first attempt of a part, or a retry.
///
/// @returns False if no replica can take it now.
auto dispatch_part(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool;

/// Takes a token for a retry from the service's retry budget; false if there is
/// none.
auto withdraw_retry_token(service_entry& service) -> bool;

/// Reason why no replica of the shard can serve the snapshot, now or soon.
///
/// @returns Nothing if a replica can.
auto unservable_reason(node_state const& s, shard_entry const& shard,
    snapshot at, time_point now) -> std::optional<shard_failure>;

/// Sends a part, queues it, or fails it if no replica can serve it in time.
auto dispatch_or_queue(
    node_state& s, part_key const& key, time_point now, commands& out) -> void;

/// Arms the hedge timer of a sub-query unless it is armed already; one timer
/// serves all parts.
auto arm_hedge(node_state& s, sub_key const& key, time_point when) -> void;

/// Time after which an unanswered part is hedged: the service's latency
/// quantile, or a quarter of the time left while there are too few latency
/// samples.
auto hedge_delay(service_entry const& service, time_point deadline,
    time_point now) -> duration;

/// Sends a second attempt of a part if it delays no other request: not while
/// parts of the shard are queued, and only within the retry budget.
///
/// @param[in] ignore_budget Sends even if the budget is empty; a token is taken
///     if there is one.
/// @returns False if nothing was sent.
auto hedge(node_state& s, part_key const& key, bool ignore_budget,
    time_point now, commands& out) -> bool;

/// True if the part has one attempt in flight and may make another.
auto may_hedge(node_state const& s, part const& p) -> bool;

/// Time at which the part's attempt in flight was sent; 0 if there is none.
auto sent_at(node_state const& s, part const& p) -> time_point;

} // namespace knapweedstream

#endif
