/// Bookings at their executor: claim, dispatch to a target, recorded outcome.
///
/// A booking is dispatched only after a conditional write stored its claim.
/// Another booking takes over a claim only if its outcome is "not run". The
/// claims of a shard share one platform object, the bucket, so that one write
/// commits all bookings that wait.
#ifndef KNAPWEEDSTREAM_CORE_BOOKING_EXEC_HPP
#define KNAPWEEDSTREAM_CORE_BOOKING_EXEC_HPP

#include "core/owner.hpp"

namespace knapweedstream
{

/// Handles a booking that an entry instance forwarded to this node.
auto on_booking_forward(node_state& s, instance_id from,
    booking_forward const& m, time_point now, commands& out) -> void;

/// Sends a claimed booking to a target with free capacity.
///
/// @returns True if the booking can leave the queue: sent, or no longer to be
///     sent.
auto dispatch_booking(node_state& s, shard_entry& shard, claim_token token,
    time_point now, commands& out) -> bool;

/// Handles the outcome of an attempt. Only an explicit "not run" may lead to
/// another attempt.
auto on_booking_end(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void;

/// Ends a booking whose claim was not stored in time, or that was not sent by
/// its deadline. One that is at a target by then is answered as "unknown"; if
/// its outcome becomes known, it is still recorded.
auto on_exec_due(
    node_state& s, exec_due const& e, time_point now, commands& out) -> void;
/// Retries a failed read or write of claims.
auto on_bucket_retry_due(
    node_state& s, bucket_retry_due const& e, commands& out) -> void;
/// Handles the claims of a bucket as read from the platform.
auto on_claims_stored(node_state& s, claims_stored const& e, time_point now,
    commands& out) -> void;
/// Handles a write of claims that took effect.
auto on_claims_written(node_state& s, claims_written const& e, time_point now,
    commands& out) -> void;
/// Handles a read or write of claims that failed or whose answer was lost. The
/// bucket is read again, as the write may have taken effect.
auto on_claims_failed(node_state& s, claims_failed const& e, time_point now)
    -> void;

} // namespace knapweedstream

#endif
