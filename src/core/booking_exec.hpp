/// The executor's side of a booking: claim, one dispatch, recorded outcome.
///
/// A booking is dispatched only after its claim was stored by a conditional
/// write, and a claim is never taken over. Claims of one shard share a bucket
/// object, so one write commits all that wait.
#ifndef KNAPWEEDSTREAM_CORE_BOOKING_EXEC_HPP
#define KNAPWEEDSTREAM_CORE_BOOKING_EXEC_HPP

#include "core/owner.hpp"

namespace knapweedstream
{

/// An entry asks this node to run a booking.
auto on_booking_forward(node_state& s, instance_id from,
    booking_forward const& m, time_point now, commands& out) -> void;

/// Sends a claimed booking to a target with room.
///
/// @returns True if the booking needs its place in the queue no longer.
auto dispatch_booking(node_state& s, shard_entry& shard, claim_token token,
    time_point now, commands& out) -> bool;

/// The attempt of a booking ended.
auto on_booking_end(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void;

/// The deadline of a booking at its executor.
auto on_exec_due(
    node_state& s, exec_due const& e, time_point now, commands& out) -> void;
/// Time to try the platform again.
auto on_bucket_retry_due(
    node_state& s, bucket_retry_due const& e, commands& out) -> void;
/// The platform told the claims of a bucket.
auto on_claims_stored(node_state& s, claims_stored const& e, time_point now,
    commands& out) -> void;
/// A write of claims took effect.
auto on_claims_written(node_state& s, claims_written const& e, time_point now,
    commands& out) -> void;
/// A read or write of claims failed, or its answer was lost.
auto on_claims_failed(node_state& s, claims_failed const& e, time_point now)
    -> void;

} // namespace knapweedstream

#endif
