/// Requests to targets, from their reply or loss to what it means for the part
/// that they were sent for.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ATTEMPTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ATTEMPTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// A target replied.
auto on_replied(dispatch_state& s, target_replied const& e, time_point now,
    commands& out) -> void;

/// A connection ended, or could not be opened.
auto on_closed(dispatch_state& s, connection_closed const& e, time_point now,
    commands& out) -> void;

/// An abandoned attempt has been out for long enough.
auto on_abandoned_due(dispatch_state& s, abandoned_due const& e, time_point now,
    commands& out) -> void;

/// No target can take a part.
auto on_unplaced(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void;

/// The reply of an attempt is no longer wanted; it is cut if it has not come
/// after `patience`.
auto abandon(dispatch_state& s, attempt_id id, duration timeout, time_point now)
    -> void;

/// True if a part may be sent once more, as far as its route goes.
auto may_send_again(
    dispatch_state const& s, request_entry const& e, part const& p) -> bool;

/// Lets a part without an attempt wait; `retry_parts` takes it up again.
auto wait_to_retry(dispatch_state& s, part_key const& key, time_point now)
    -> void;

/// Sends the parts of a request again that have waited for it.
auto retry_parts(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void;

/// Tells once that an extra request could not be paid.
auto report_budget_refusal(dispatch_state& s, request_entry const& e, part& p,
    attempt_kind kind, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
