/// State of a node: comparable value types, and the tables that hold them. Most
/// updates replace a value by a changed copy.
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
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace knapweedstream
{

/// Phase of a connection to a target.
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
    attempt_id attempt;    ///< Set if busy.
    time_point last_heard; ///< Last answer, or when it was opened.

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

/// One request sent to a target.
struct attempt
{
    attempt_id id;
    part_key part; ///< Not used by a booking.
    target_id target;
    connection_id connection;
    attempt_kind kind = attempt_kind::primary;
    boot_id boot; ///< Boot id of the target when the request was sent.
    fingerprint print;
    claim_token token; ///< Set for a booking.
    time_point sent_at;
    bool cancelled = false;

    auto operator<=>(attempt const&) const = default;
};

/// Progress of a part.
enum class part_state : std::uint8_t
{
    queued,  ///< Waits for a connection.
    running, ///< Has been sent to a target.
    ended,   ///< Answered or given up.
};

/// Work of a sub-query on one shard.
struct part
{
    shard_id shard;
    part_state state = part_state::queued;
    std::uint32_t attempts = 0;          ///< Attempts made so far.
    std::array<attempt_id, 2> running{}; ///< Attempts without an outcome.
    std::array<target_id, 4> tried{};    ///< The last targets asked.

    auto operator<=>(part const&) const = default;
};

/// Back-end version that a request is to run on during a rollout.
enum class version_choice : std::uint8_t
{
    any,       ///< No rollout is configured.
    old_only,  ///< Only targets of the old version.
    new_first, ///< The new version; the old one if the new has no room.
};

/// A sub-query at the owner that runs it.
struct owned_sub_query
{
    sub_query request;
    time_point deadline;
    std::uint32_t open_parts = 0;
    version_choice version = version_choice::any;
    sub_answer pending; ///< Results for the next `flush_answers`.

    auto operator<=>(owned_sub_query const&) const = default;
};

/// Table entry of a sub-query, with its parts.
struct sub_query_entry
{
    owned_sub_query value;
    std::vector<part> parts;
    bool flush_queued = false; ///< Listed in `node_state::to_flush`.
    bool hedge_armed = false;  ///< A hedge timer is pending.
};

/// Work of a run that was assigned to one owner.
struct assignment
{
    instance_id owner;
    time_point sent_at;
    std::uint32_t open = 0; ///< Shards that this owner still has to answer.

    auto operator<=>(assignment const&) const = default;
};

/// State of one shard of a query at the entry instance.
struct query_shard
{
    shard_result result;
    bool open = true;  ///< Neither answered nor given up.
    instance_id owner; ///< Owner being asked; 0 if none.
    /// Bit set of the ranks of the owners asked in this run, and a flag for a
    /// request that was sent as suspected.
    std::uint32_t asked = 0;

    auto operator<=>(query_shard const&) const = default;
};

/// An open query at its entry instance, the one that the caller reached.
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
    lost_target lost;    ///< Target that was lost while it ran this query.
    bool canary = false; ///< Only the canary shard has been asked.
    std::uint32_t canary_tries = 0; ///< Canary shards that failed.
    std::uint32_t open = 0;         ///< Shards neither answered nor given up.

    auto operator<=>(pending_query const&) const = default;
};

/// Table entry of a query, with its shards and the answers received so far.
struct query_entry
{
    pending_query value;
    std::vector<query_shard> shards;
    std::vector<assignment> assignments;
    std::vector<shard_rows> answers;
};

/// An open booking at its entry instance, the one that the caller reached.
struct pending_booking
{
    caller_id caller;
    customer_id customer;
    booking_request request;
    time_point deadline;
    instance_id executor;       ///< Instance it was last forwarded to.
    std::uint32_t forwards = 0; ///< Number of executors it was forwarded to.
    std::uint32_t not_run = 0;  ///< Number of "not run" answers from them.

    auto operator<=>(pending_booking const&) const = default;
};

/// Progress of a booking at its executor.
enum class exec_state : std::uint8_t
{
    claiming,    ///< Waits until its claim is stored.
    dispatching, ///< Claim stored; waits for a connection.
    sent,        ///< At a target; sent again only after a "not run" answer.
    recording,   ///< Outcome known; waits until it is stored.
};

/// A booking at its executor, the owner that claims and dispatches it.
struct booking_execution
{
    instance_id entry; ///< Entry instance that forwarded it.
    query_id id;
    booking_request request;
    claim_bucket bucket;
    fingerprint content;
    claim_token token;
    time_point deadline;
    std::int64_t wall_s = 0; ///< Wall clock of the entry instance, seconds
                             ///< since 1970; 0 if it was forwarded again.
    exec_state state = exec_state::claiming;
    bool answered = false;   ///< The entry instance was sent the answer.
    bool claim_sent = false; ///< A write that holds its claim was sent.
    std::uint32_t attempts = 0;
    booking_answer outcome; ///< Valid while recording.

    auto operator<=>(booking_execution const&) const = default;
};

/// Cached claims of one shard, with the bookings that wait for a commit.
struct bucket_entry
{
    bool loaded = false;      ///< `claims` matches the platform at `version`.
    bool in_progress = false; ///< A read or write is pending.
    store_version version;    ///< Of the platform's object.
    std::vector<claim> claims;
    std::vector<claim> writing; ///< Content of the pending write.
    /// Claims of an earlier era of the platform, until they are stored in the
    /// present one.
    std::vector<claim> to_restore;
    bool restoring = false; ///< `to_restore` has to be compared or stored.
    std::vector<claim_token> waiting; ///< Bookings to commit.
};

/// State of a shard of a service as known to this node.
struct shard_entry
{
    std::vector<target_id> replicas;
    std::vector<instance_id> owners; ///< By rank; the first is the primary.
    bool owned = false;              ///< This node is an owner.
    target_share share;
    /// Index versions that each owner can serve, as it announced.
    std::map<instance_id, std::vector<std::uint64_t>> views;
    shard_view announced;      ///< View last sent to peers by this node.
    instance_id warming_owner; ///< Owner that needs requests to warm a replica.
    std::deque<part_key> queue;       ///< Parts waiting for a free connection.
    std::deque<claim_token> bookings; ///< Bookings waiting to be sent.
    selector replica_selector;
};

/// State of the rollout of a service as known to this node.
struct rollout_entry
{
    store_version version; ///< Of the platform's object.
    rollout value;  ///< In force; further along than `stored` if that was lost.
    rollout stored; ///< What the platform has at `version`.
    bool loaded = false;      ///< `value` was read by this node as the driver.
    bool in_progress = false; ///< A read or write is pending.
    rollout_fault fault = rollout_fault::none; ///< Detected here or by a peer.
    version_record before;                     ///< Results of the old version.
    version_record after;                      ///< Results of the new version.
    /// Newest outcomes of the other owners; kept by the driver.
    std::map<instance_id, version_outcomes> reported;

    auto operator<=>(rollout_entry const&) const = default;
};

/// State of a service as known to this node.
struct service_entry
{
    customer_id customer;
    service_info info;
    std::vector<shard_entry> shards;
    quantile_estimate latency;
    retry_budget budget;
    adaptive_limit admission_limit; ///< Limits its open queries.
    rollout_entry rollout;
};

/// A customer and the number of its open requests.
struct customer_entry
{
    customer_config config;
    std::uint32_t open = 0;
    /// Configurations as the platform had them, oldest first; they show which
    /// ones an older copy holds.
    std::vector<customer_config> earlier;
    /// Lower-numbered configuration of a later era, of which it is not known
    /// whether the operator wrote it in that era.
    std::optional<customer_config> unsettled;
};

/// State of a request that was running on a target when the target was lost.
struct suspicion
{
    std::uint32_t losses = 0; ///< Number of targets lost.
    bool running = false; ///< An attempt is out; one at a time while suspected.
    lost_target first;    ///< First target that was lost.
    time_point since;     ///< Time of the first loss.
    time_point banned_until;

    auto operator<=>(suspicion const&) const = default;
};

/// A target and the connections of this owner to it.
struct target_entry
{
    target value;
    std::vector<connection_id> idle;
    std::uint32_t connections = 0; ///< In any state.
    std::uint32_t opening = 0;
    /// Attempt of a suspected request on this target; 0 if none.
    attempt_id suspect_attempt;
};

/// Complete state of a node.
struct node_state
{
    node_init init;
    node_stats stats;
    random_state random;
    std::uint64_t next_id = 1;
    instance_id self;
    bool leaving = false;
    bool watching_config = false;
    time_point idle_since; ///< While leaving: since when no request is open.
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t platform_era = 0; ///< Last seen; 0 if none was stated.
    /// When configurations were last requested; 0 once a new one was accepted.
    time_point config_requested_at;
    time_point next_wake; ///< Time of the requested tick; 0 if none.

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
    std::vector<sub_key> to_flush; ///< Sub-queries with results to send.
    std::unordered_map<query_id, query_entry> queries;
    std::unordered_map<query_id, pending_booking> bookings;
    std::unordered_map<claim_token, booking_execution> executions;
    std::unordered_map<claim_bucket, bucket_entry> buckets;
    std::unordered_map<fingerprint, suspicion> suspicions;
    /// Requests that a target has answered.
    std::unordered_map<fingerprint, bool> known_safe;
    std::deque<fingerprint> known_safe_order; ///< Oldest first.
    /// Messages to peers, sent on `turn_ended`.
    std::map<instance_id, std::vector<message>> outbox;
    std::deque<message> loopback; ///< Messages of this node to itself.
};

/// Arms a timer for the given time.
auto arm(node_state& s, time_point when, timer what) -> void;

/// Queues a message. One to this node is handled before `node::handle` returns;
/// one to a peer is sent on the next `turn_ended`.
auto post(node_state& s, instance_id to, message m) -> void;

/// Makes a nonzero handle by hashing instance name, incarnation and a counter,
/// so that other processes do not make the same one.
template <class Handle>
auto fresh_id(node_state& s) -> Handle
{
    return Handle{draw_below(s.random, ~std::uint64_t{0} - 1) + 1};
}

} // namespace knapweedstream

#endif
