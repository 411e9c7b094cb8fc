/// The tables of a node. Each entry is a value that its successor replaces.
#ifndef KNAPWEEDSTREAM_CORE_STATE_HPP
#define KNAPWEEDSTREAM_CORE_STATE_HPP

#include "core/adaptive_limit.hpp"
#include "core/budget.hpp"
#include "core/member.hpp"
#include "core/merge.hpp"
#include "core/node.hpp"
#include "core/quantile.hpp"
#include "core/rendezvous.hpp"
#include "core/rollout.hpp"
#include "core/selector.hpp"
#include "core/target.hpp"
#include "core/timer.hpp"
#include "port/command.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>
#include <vector>

namespace knapweedstream
{

/// State of a connection to a target.
enum class connection_state : std::uint8_t
{
    opening,
    idle,
    busy,
};

/// A connection to a target.
struct connection
{
    connection_id id;
    target_id target;
    connection_state state = connection_state::opening;
    attempt_id attempt;    ///< If busy.
    time_point last_heard; ///< Last answer on it.

    auto operator<=>(connection const&) const = default;
};

/// Why an attempt was made.
enum class attempt_kind : std::uint8_t
{
    primary,
    hedge,
    retry,
    booking,
};

/// One request to a target.
struct attempt
{
    attempt_id id;
    part_key part; ///< For a booking: entry and query id.
    target_id target;
    connection_id connection;
    attempt_kind kind = attempt_kind::primary;
    boot_id boot; ///< Of the target when it was sent.
    fingerprint print;
    claim_token token; ///< Of a booking.
    time_point sent_at;
    bool cancelled = false;

    auto operator<=>(attempt const&) const = default;
};

/// How far a shard of a sub-query has come.
enum class part_state : std::uint8_t
{
    queued,  ///< Waits for a connection.
    running, ///< At least one attempt is out.
    ended,   ///< Answered or given up.
};

/// One shard of a sub-query.
struct part
{
    shard_id shard;
    part_state state = part_state::queued;
    std::uint32_t attempts = 0;          ///< Made so far.
    std::array<attempt_id, 2> running{}; ///< Attempts that are out.
    std::array<target_id, 4> tried{};    ///< Targets asked.

    auto operator<=>(part const&) const = default;
};

/// Which version a request is meant for.
enum class version_choice : std::uint8_t
{
    any,       ///< No rollout.
    old_only,  ///< Never the new version.
    new_first, ///< The new version, the old one if that has no room.
};

/// A sub-query at its owner.
struct owned_sub_query
{
    sub_query request;
    time_point deadline;
    std::uint32_t open_parts = 0;
    version_choice version = version_choice::any;
    sub_answer pending; ///< Goes out when the turn ends.

    auto operator<=>(owned_sub_query const&) const = default;
};

/// Table entry of a sub-query: the value, and its parts one by one.
struct sub_query_entry
{
    owned_sub_query value;
    std::vector<part> parts;
    bool flush_queued = false; ///< Stands in the list of answers to send.
    bool hedge_armed = false;  ///< A hedge timer is out.
};

/// Shards of a run that one owner was asked for.
struct assignment
{
    instance_id owner;
    time_point sent_at;
    std::uint32_t open = 0; ///< Shards not yet answered by this owner.

    auto operator<=>(assignment const&) const = default;
};

/// One shard of a query at its entry.
struct query_shard
{
    shard_result result;
    bool open = true;        ///< Neither answered nor given up.
    instance_id owner;       ///< Asked now; 0 if nobody is.
    std::uint32_t asked = 0; ///< Owners asked in this run, as a bit set.

    auto operator<=>(query_shard const&) const = default;
};

/// A query at its entry.
struct pending_query
{
    caller_id caller;
    customer_id customer;
    service_id service;
    query_request request;
    fingerprint print;
    time_point started;
    time_point deadline;
    run_id id;
    snapshot at;
    lost_target lost;    ///< That died while it ran this.
    bool canary = false; ///< Only the canary shard has been asked.
    std::uint32_t canary_tries = 0;
    std::uint32_t open = 0; ///< Shards neither answered nor given up.

    auto operator<=>(pending_query const&) const = default;
};

/// Table entry of a query: the value, its shards and the answers so far.
struct query_entry
{
    pending_query value;
    std::vector<query_shard> shards;
    std::vector<assignment> assignments;
    std::vector<shard_rows> answers;
};

/// A booking at the instance that the caller reached.
struct pending_booking
{
    caller_id caller;
    customer_id customer;
    booking_request request;
    time_point deadline;
    instance_id executor;
    std::uint32_t forwards = 0; ///< Executors that may have it,
    std::uint32_t not_run = 0;  ///< and those of them that did not run it.

    auto operator<=>(pending_booking const&) const = default;
};

/// How far the executor of a booking has come.
enum class exec_state : std::uint8_t
{
    claiming,    ///< Waits for its claim to be stored.
    dispatching, ///< Claim stored; waits for a connection.
    sent,        ///< At a target; never sent again unless told "not run".
    recording,   ///< Outcome known; waits to be stored.
};

/// A booking at its executor.
struct executed_booking
{
    instance_id entry;
    query_id id;
    booking_request request;
    claim_bucket bucket;
    fingerprint content;
    claim_token token;
    time_point deadline;
    std::int64_t wall_s = 0;
    exec_state state = exec_state::claiming;
    bool answered = false;   ///< The entry has its answer.
    bool claim_sent = false; ///< A write with its claim was sent.
    std::uint32_t attempts = 0;
    booking_answer outcome; ///< Once known.

    auto operator<=>(executed_booking const&) const = default;
};

/// Claims of one shard as this executor knows them.
struct bucket_entry
{
    bool loaded = false;      ///< `claims` matches the platform at `version`.
    bool in_progress = false; ///< A read or write is out.
    std::uint64_t version = 0;
    std::vector<claim> claims;
    std::vector<claim> writing;       ///< Content of the write that is out.
    std::vector<claim_token> waiting; ///< Bookings that need a commit.
};

/// A shard of a service as this node sees it.
struct shard_entry
{
    std::vector<target_id> replicas;
    std::vector<instance_id> owners; ///< By rank; the first is the primary.
    bool owned = false;              ///< This node is one of them.
    target_share share;
    /// Servable index versions, as told by each owner.
    std::map<instance_id, std::vector<std::uint64_t>> views;
    shard_view announced;      ///< Last told to peers by this node.
    instance_id warming_owner; ///< Owner that wants requests to warm a replica.
    std::deque<part_key> queue;       ///< Parts waiting for a connection.
    std::deque<claim_token> bookings; ///< Bookings waiting likewise.
    selector replica_selector;
};

/// The rollout of a service as this node sees it.
struct rollout_entry
{
    std::uint64_t version = 0; ///< Of the platform's object.
    rollout value;
    bool loaded = false;      ///< Read by this node as its driver.
    bool in_progress = false; ///< A read or write is out.
    rollout_fault fault = rollout_fault::none; ///< Seen here or by a peer.
    version_record before;                     ///< What the old version showed.
    version_record after;                      ///< What the new version showed.

    auto operator<=>(rollout_entry const&) const = default;
};

/// A service as this node sees it.
struct service_entry
{
    customer_id customer;
    service_info info;
    std::vector<shard_entry> shards;
    quantile_estimate latency;
    retry_budget budget;
    adaptive_limit admission_limit; ///< Queries open for it.
    rollout_entry rollout;
};

/// A customer and its requests in flight.
struct customer_entry
{
    customer_config config;
    std::uint32_t open = 0;
};

/// What is held against a request that targets died with.
struct suspicion
{
    std::uint32_t losses = 0;
    bool running = false; ///< One attempt at a time while suspected.
    lost_target first;    ///< The first target that died.
    time_point since;     ///< First death.
    time_point banned_until;

    auto operator<=>(suspicion const&) const = default;
};

/// Connections of one target at this owner.
struct target_entry
{
    target value;
    std::vector<connection_id> idle;
    std::uint32_t connections = 0; ///< Opening, idle or busy.
    std::uint32_t opening = 0;
    attempt_id
        suspect_attempt; ///< Attempt of a suspected request that runs here.
};

/// All tables of a node.
struct node_state
{
    node_init init;
    node_stats stats;
    random_state random;
    std::uint64_t next_id = 1;
    instance_id self;
    bool leaving = false;
    bool watching_config = false;
    time_point idle_since;
    std::uint64_t heartbeat_sequence = 0;
    time_point
        config_requested_at; ///< Last request for configurations, if open.
    time_point next_wake;    ///< Earliest tick asked for.

    std::priority_queue<timer_entry, std::vector<timer_entry>, std::greater<>>
        timers;
    std::uint64_t timer_order = 0;

    std::map<instance_id, member> members;
    std::map<customer_id, customer_entry> customers;
    std::unordered_map<service_id, service_entry> services;
    std::unordered_map<target_id, target_entry> targets;
    std::unordered_map<connection_id, connection> connections;
    std::unordered_map<attempt_id, attempt> attempts;
    std::unordered_map<sub_key, sub_query_entry> sub_queries;
    std::vector<sub_key> to_flush;
    std::unordered_map<query_id, query_entry> queries;
    std::unordered_map<query_id, pending_booking> bookings;
    std::unordered_map<claim_token, executed_booking> executions;
    std::unordered_map<claim_bucket, bucket_entry> buckets;
    std::unordered_map<fingerprint, suspicion> suspicions;
    std::unordered_map<fingerprint, bool> known_safe; ///< Ran before.
    std::deque<fingerprint> known_safe_order;         ///< Oldest first.
    std::map<instance_id, std::vector<message>> outbox;
    std::deque<message> loopback; ///< Messages of this node to itself.
};

/// Arms a timer.
auto arm(node_state& s, time_point when, timer what) -> void;

/// Queues a message; it goes out when the turn ends.
auto post(node_state& s, instance_id to, message m) -> void;

/// A handle that no process has used: incarnation and counter, hashed.
template <class Handle>
auto fresh_id(node_state& s) -> Handle
{
    return Handle{draw_below(s.random, ~std::uint64_t{0} - 1) + 1};
}

} // namespace knapweedstream

#endif
