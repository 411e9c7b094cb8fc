/// Commands of a node, which is the decision logic of an instance for queries
/// and bookings, to its adapters.
#ifndef KNAPWEEDSTREAM_PORT_COMMAND_HPP
#define KNAPWEEDSTREAM_PORT_COMMAND_HPP

#include "port/message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// Sends the answer to a query to its caller.
struct answer_query
{
    caller_id caller;
    query_answer answer;
    auto operator<=>(answer_query const&) const = default;
};

/// Tells a caller that its query was refused. Unless the reason is
/// `deadly_request`, the query has not been run.
struct refuse_query
{
    caller_id caller;
    refusal reason;
    auto operator<=>(refuse_query const&) const = default;
};

/// Sends the outcome of a booking to its caller.
struct answer_booking
{
    caller_id caller;
    booking_answer answer;
    auto operator<=>(answer_booking const&) const = default;
};

/// Connects to a target and asks it for a report of its state.
struct leaf_open
{
    connection_id connection;
    std::string address;
    auto operator<=>(leaf_open const&) const = default;
};

/// Closes a connection to a target.
struct leaf_close
{
    connection_id connection;
    auto operator<=>(leaf_close const&) const = default;
};

/// Sends a search to a target on an idle connection.
struct leaf_search
{
    connection_id connection;
    attempt_id attempt;
    shard_id shard;
    snapshot at;
    duration time_left{0};
    std::string text;
    auto operator<=>(leaf_search const&) const = default;
};

/// Sends a booking to a target on an idle connection.
struct leaf_book
{
    connection_id connection;
    attempt_id attempt;
    shard_id shard;
    duration time_left{0};
    std::string key;
    std::string text;
    auto operator<=>(leaf_book const&) const = default;
};

/// Asks a target to cancel an attempt.
struct leaf_cancel
{
    std::string address;
    attempt_id attempt;
    auto operator<=>(leaf_cancel const&) const = default;
};

/// Sends a batch of messages to another instance.
struct peer_send
{
    instance_id to;
    std::vector<message> messages;
    auto operator<=>(peer_send const&) const = default;
};

/// Connects to an instance, so that `peer_send` can reach it.
struct peer_dial
{
    instance_id peer;
    std::string address;
    auto operator<=>(peer_dial const&) const = default;
};

/// Forgets an instance, so that `peer_send` no longer reaches it.
struct peer_drop
{
    instance_id peer;
    auto operator<=>(peer_drop const&) const = default;
};

/// Reads the claims on idempotency keys of one shard (a bucket) from the
/// platform.
struct claims_read
{
    claim_bucket bucket;
    auto operator<=>(claims_read const&) const = default;
};

/// Writes the claims on idempotency keys of one shard (a bucket) to the
/// platform unless the bucket's version has changed.
struct claims_write
{
    claim_bucket bucket;
    store_version if_version; ///< Expected; revision 0: must not exist.
    std::vector<claim> claims;
    auto operator<=>(claims_write const&) const = default;
};

/// Reads the rollout of a service from the platform.
struct rollout_read
{
    service_id service;
    auto operator<=>(rollout_read const&) const = default;
};

/// Writes the rollout of a service unless its version has changed.
struct rollout_write
{
    service_id service;
    store_version if_version; ///< Expected; revision 0: must not exist.
    rollout value;
    auto operator<=>(rollout_write const&) const = default;
};

/// Counts a finished request towards the customer's service-level objectives.
struct count_request
{
    std::string customer;
    service_objectives objectives;
    request_counts counts;
    auto operator<=>(count_request const&) const = default;
};

/// Starts or stops watching the platform's configuration.
struct watch_config
{
    bool on = false;
    auto operator<=>(watch_config const&) const = default;
};

/// A peer has seen an era of the platform: what the platform has lost is to be
/// announced and read again.
struct enter_era
{
    std::uint64_t era = 0;
    auto operator<=>(enter_era const&) const = default;
};

/// Announces to the platform that this instance takes no new work.
struct announce_leaving
{
    auto operator<=>(announce_leaving const&) const = default;
};

/// Ends the process; all work is finished.
struct exit_now
{
    auto operator<=>(exit_now const&) const = default;
};

/// Requests a `tick` event at the given time.
struct wake_at
{
    time_point when;
    auto operator<=>(wake_at const&) const = default;
};

/// A target was ejected after repeated failures: it gets no requests for a
/// time.
struct target_ejected
{
    target_id target;
    auto operator<=>(target_ejected const&) const = default;
};
/// A target reported a new boot ID.
struct target_restarted
{
    target_id target;
    boot_id boot;
    auto operator<=>(target_restarted const&) const = default;
};
/// A target is warm and takes its full share of requests.
struct target_warmed
{
    target_id target;
    auto operator<=>(target_warmed const&) const = default;
};
/// A cancelled or overdue request did not end in time, so its connection was
/// closed.
struct connection_unresponsive
{
    target_id target;
    auto operator<=>(connection_unresponsive const&) const = default;
};
/// A message arrived from an instance that was new or suspected of a failure.
struct peer_joined
{
    std::string name;
    auto operator<=>(peer_joined const&) const = default;
};
/// An instance has not answered and gets no work until it is heard from.
struct peer_suspected
{
    std::string name;
    auto operator<=>(peer_suspected const&) const = default;
};
/// A newer configuration of a customer was applied.
struct config_accepted
{
    std::string customer;
    store_version version;
    auto operator<=>(config_accepted const&) const = default;
};
/// The platform came back with an older configuration than the one in force,
/// which stays in force.
struct config_kept
{
    std::string customer;
    store_version version; ///< Of the older one.
    auto operator<=>(config_kept const&) const = default;
};
/// The platform came back from an older copy of its data.
struct platform_restored
{
    std::uint64_t before = 0; ///< Era known until then.
    std::uint64_t era = 0;
    auto operator<=>(platform_restored const&) const = default;
};
/// A request that crashed targets is refused for
/// `node_limits::fingerprint_ban`.
struct request_banned
{
    fingerprint request_fingerprint;
    auto operator<=>(request_banned const&) const = default;
};

/// A rollout advanced by a step, completed or was rolled back.
struct rollout_changed
{
    std::string service;
    std::uint32_t id = 0;
    std::uint32_t step = 0;
    rollout_phase phase = rollout_phase::running;
    rollout_fault fault = rollout_fault::none;
    auto operator<=>(rollout_changed const&) const = default;
};
/// This node sends no more requests to the new version of a rollout.
struct version_stopped
{
    std::string service;
    std::uint32_t id = 0;
    rollout_fault fault = rollout_fault::none;
    auto operator<=>(version_stopped const&) const = default;
};

/// A state change to report in the log.
using fact = std::variant<rollout_changed, version_stopped, target_ejected,
    target_restarted, target_warmed, connection_unresponsive, peer_joined,
    peer_suspected, config_accepted, config_kept, platform_restored,
    request_banned>;

/// Writes a fact to the log.
struct report_fact
{
    fact what;
    auto operator<=>(report_fact const&) const = default;
};

/// Any command of a node.
using command = std::variant<answer_query, refuse_query, answer_booking,
    leaf_open, leaf_close, leaf_search, leaf_book, leaf_cancel, peer_send,
    peer_dial, peer_drop, claims_read, claims_write, watch_config,
    announce_leaving, exit_now, wake_at, report_fact, rollout_read,
    rollout_write, count_request, enter_era>;

using commands = std::vector<command>;

} // namespace knapweedstream

#endif
