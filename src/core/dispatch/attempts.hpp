/// The end of attempts: what a reply or a lost connection means for the
/// target's health and for the part of the request, and when a part is sent
/// again.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ATTEMPTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ATTEMPTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Handles a target's reply.
auto on_replied(dispatch_state& s, target_replied const& e, time_point now,
    commands& out) -> void;

/// Handles a connection that ended or could not be opened.
auto on_closed(dispatch_state& s, connection_closed const& e, time_point now,
    commands& out) -> void;

/// Ends an abandoned attempt that still has no reply: closes its connection.
/// The target is suspended if it sent no reply at all since the attempt was
/// sent.
auto on_abandoned_due(dispatch_state& s, abandoned_due const& e, time_point now,
    commands& out) -> void;

/// Handles a queued part that no target can take: fails it, unless an attempt
/// of it is still running.
auto on_unplaced(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void;

/// Marks an attempt as abandoned: its reply is no longer wanted. Its connection
/// is closed if no reply comes within `timeout`.
auto abandon(dispatch_state& s, attempt_id id, duration timeout, time_point now)
    -> void;

/// True if the route's repeatability and number of attempts allow a part to
/// be sent once more. The retry budget is not considered.
auto may_send_again(
    dispatch_state const& s, request_entry const& e, part const& p) -> bool;

/// Schedules a retry of a part that has no running attempt; `retry_parts`
/// carries it out when it is due.
auto schedule_retry(dispatch_state& s, part_key const& key, time_point now)
    -> void;

/// Sends the parts of a request whose scheduled retry is due.
auto retry_parts(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void;

/// Reports and counts that the retry budget refuses an extra request, once for
/// each part. Does nothing if the budget allows it.
auto report_budget_refusal(dispatch_state& s, request_entry const& e, part& p,
    attempt_kind kind, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
