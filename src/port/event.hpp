/// Events that the adapters deliver to a node, which is the decision logic of
/// an instance for queries and bookings.
#ifndef KNAPWEEDSTREAM_PORT_EVENT_HPP
#define KNAPWEEDSTREAM_PORT_EVENT_HPP

#include "port/message.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// A query arrived from a caller.
struct caller_query
{
    caller_id caller;
    query_request request;
    auto operator<=>(caller_query const&) const = default;
};

/// A booking arrived from a caller.
struct caller_booking
{
    caller_id caller;
    booking_request request;
    std::int64_t wall_s = 0; ///< Wall clock, seconds since 1970.
    auto operator<=>(caller_booking const&) const = default;
};

/// A caller disconnected before it was answered.
struct caller_gone
{
    caller_id caller;
    auto operator<=>(caller_gone const&) const = default;
};

/// State that a target reports with each answer.
struct target_report
{
    boot_id boot;                        ///< Changes at each start.
    std::vector<std::uint64_t> versions; ///< Index versions that it serves.
    bool draining = false;               ///< Takes no new requests.
    auto operator<=>(target_report const&) const = default;
};

/// A connection to a target is open and the target has reported its state.
struct leaf_opened
{
    connection_id connection;
    target_report report;
    auto operator<=>(leaf_opened const&) const = default;
};

/// A connection to a target was closed or could not be opened.
struct leaf_closed
{
    connection_id connection;
    bool unsent = false; ///< No search or booking was written to it.
    auto operator<=>(leaf_closed const&) const = default;
};

/// The target returned rows, with their shard and snapshot.
struct leaf_rows
{
    shard_rows rows;
    auto operator<=>(leaf_rows const&) const = default;
};

/// The target ran the booking.
struct leaf_booked
{
    std::string reference;
    auto operator<=>(leaf_booked const&) const = default;
};

/// The target is overloaded and did not run the request.
struct leaf_shed
{
    auto operator<=>(leaf_shed const&) const = default;
};

/// The target does not serve the requested snapshot; the request was not run.
struct leaf_wrong_snapshot
{
    auto operator<=>(leaf_wrong_snapshot const&) const = default;
};

/// The target stopped the request because it was cancelled or past its
/// deadline.
struct leaf_cancelled
{
    auto operator<=>(leaf_cancelled const&) const = default;
};

/// The target failed; it may have run the request.
struct leaf_failed
{
    std::uint32_t status = 0; ///< HTTP status; 0 if unreadable.
    auto operator<=>(leaf_failed const&) const = default;
};

/// Outcome of a request as reported by a target (leaf).
using leaf_outcome = std::variant<leaf_rows, leaf_booked, leaf_shed,
    leaf_wrong_snapshot, leaf_cancelled, leaf_failed>;

/// An answer of a target arrived on a connection.
struct leaf_answered
{
    connection_id connection;
    attempt_id attempt; ///< Attempt ID echoed by the target.
    target_report report;
    leaf_outcome outcome;
    auto operator<=>(leaf_answered const&) const = default;
};

/// A batch of messages arrived from another instance.
struct peer_received
{
    instance_id from;
    std::vector<message> messages;
    auto operator<=>(peer_received const&) const = default;
};

/// A customer's configuration was read from the platform.
struct config_read
{
    customer_config config;
    auto operator<=>(config_read const&) const = default;
};

/// The platform's list of instances, which can be out of date, was read.
struct instances_listed
{
    std::vector<instance_info> instances;
    auto operator<=>(instances_listed const&) const = default;
};

/// The claims of a bucket as currently stored: the result of a read or of a
/// write that lost to another.
struct claims_stored
{
    claim_bucket bucket;
    store_version version; ///< Revision 0 if the object does not exist.
    std::vector<claim> claims;
    auto operator<=>(claims_stored const&) const = default;
};

/// A conditional write of claims succeeded.
struct claims_written
{
    claim_bucket bucket;
    store_version version;
    auto operator<=>(claims_written const&) const = default;
};

/// A read or write of claims failed or its answer was lost; a write may have
/// taken effect.
struct claims_failed
{
    claim_bucket bucket;
    auto operator<=>(claims_failed const&) const = default;
};

/// The rollout of a service as currently stored: the result of a read or write.
struct rollout_stored
{
    service_id service;
    store_version version; ///< Revision 0 if the object does not exist.
    rollout value;
    auto operator<=>(rollout_stored const&) const = default;
};

/// A read or write of a rollout failed or its answer was lost; a write may have
/// taken effect.
struct rollout_failed
{
    service_id service;
    auto operator<=>(rollout_failed const&) const = default;
};

/// An answer of the platform stated an era for the first time.
struct era_observed
{
    std::uint64_t era = 0;
    auto operator<=>(era_observed const&) const = default;
};

/// The time requested by `wake_at` has come.
struct tick
{
    auto operator<=>(tick const&) const = default;
};

/// All pending events of this loop iteration were handled; batched messages are
/// sent now.
struct turn_ended
{
    auto operator<=>(turn_ended const&) const = default;
};

/// The operator or the platform requests a graceful stop.
struct stop_requested
{
    auto operator<=>(stop_requested const&) const = default;
};

/// Any event of a node.
using event = std::variant<caller_query, caller_booking, caller_gone,
    leaf_opened, leaf_closed, leaf_answered, peer_received, config_read,
    instances_listed, claims_stored, claims_written, claims_failed, tick,
    turn_ended, stop_requested, rollout_stored, rollout_failed, era_observed>;

} // namespace knapweedstream

#endif
