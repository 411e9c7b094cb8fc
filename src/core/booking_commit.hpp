/// Commits claims and outcomes of bookings to the buckets of their shards, and
/// answers the entry instances.
#ifndef KNAPWEEDSTREAM_CORE_BOOKING_COMMIT_HPP
#define KNAPWEEDSTREAM_CORE_BOOKING_COMMIT_HPP

#include "core/owner.hpp"

namespace knapweedstream
{

/// Sends the answer to the entry instance, once.
auto answer_entry(node_state& s, claim_token token, booking_answer const& a)
    -> void;

/// Answers a booking and drops it without recording an outcome: it holds no
/// claim, or its outcome is unknown and the claim must stay.
auto answer_and_forget(
    node_state& s, claim_token token, booking_answer const& a) -> void;

/// Answers a booking that may hold a claim and queues its outcome for storing.
auto answer_and_record(node_state& s, claim_token token,
    booking_answer const& a, commands& out) -> void;

/// True if another booking without a recorded outcome holds the key.
auto claimed_by_other(node_state& s, booking_execution const& e) -> bool;

/// Writes the waiting bookings of a bucket in one commit, outcomes before new
/// claims, with claims that the platform has lost. Reads the bucket first if
/// its content is not known.
auto commit_waiting(node_state& s, claim_bucket id, commands& out) -> void;

/// Reads the buckets with known claims again, spread over time, and stores the
/// claims that the platform has lost.
auto reload_buckets(node_state& s, time_point now) -> void;

} // namespace knapweedstream

#endif
