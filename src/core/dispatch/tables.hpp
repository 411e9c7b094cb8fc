/// The dispatcher's state: tables of requests, attempts, connections, targets
/// and services, and the timers. Values such as a target's health or a
/// service's budget are replaced by changed copies.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_TABLES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_TABLES_HPP

#include "core/adaptive_limit.hpp"
#include "core/dispatch/budget_claim.hpp"
#include "core/dispatch/crash_suspicion.hpp"
#include "core/dispatch/dispatcher.hpp"
#include "core/dispatch/extra_budget.hpp"
#include "core/dispatch/follow.hpp"
#include "core/dispatch/health.hpp"
#include "core/dispatch/latency.hpp"
#include "core/dispatch/observations.hpp"
#include "core/dispatch/replica.hpp"
#include "core/dispatch/store_contact.hpp"
#include "core/dispatch/target_notices.hpp"
#include "core/dispatch/timers.hpp"
#include "core/dispatch/version_admission.hpp"
#include "core/dispatch/version_shift.hpp"
#include "core/dispatch/warmup.hpp"
#include "core/random.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedstream::dispatch
{

/// Identifies a part (one shard) of a request.
struct part_key
{
    request_key request;
    std::uint32_t index = 0;

    auto operator<=>(part_key const&) const = default;
};

/// State of a connection to a target.
enum class link_state : std::uint8_t
{
    opening,
    idle,
    busy,
};

/// A connection from this instance to a target.
struct link
{
    connection_id id;
    target_id target;
    link_state state = link_state::opening;
    attempt_id attempt; ///< Set while busy.
    time_point since;   ///< When it entered this state.
    time_point opened;  ///< When it was established.
    /// While idle: when to close it, before the target does.
    time_point usable_until = time_point::max();
    bool replied = false; ///< True once a reply has come on it.

    auto operator<=>(link const&) const = default;
};

/// An attempt to get a part answered: a request sent to one target.
struct attempt
{
    attempt_id id;
    part_key part;
    target_id target;
    connection_id connection;
    time_point connection_opened;
    attempt_kind kind = attempt_kind::first;
    time_point sent_at;
    duration hedge_delay{0}; ///< Time without a reply after which to hedge.
    duration late_after{0};  ///< A slower reply is taken as a sign of overload.
    duration usual{0};       ///< Typical latency when it was sent; 0: unknown.
    std::string route;       ///< Name of the request's route.
    /// No reply came within `hedge_delay`, and the target's health records it.
    bool overdue = false;
    bool abandoned = false; ///< The reply is no longer wanted.
    bool charged = false;   ///< It is charged to the retry budget.
    /// First attempt of the part; set in the others only.
    attempt_id first;

    auto operator<=>(attempt const&) const = default;
};

/// Attempts of a part in flight at once.
constexpr auto max_running = std::size_t{3};
/// Targets that a part remembers as tried.
constexpr auto max_tried = std::size_t{6};

/// Progress of a part of a request.
enum class part_state : std::uint8_t
{
    waiting, ///< Waits for a connection or a retry.
    running, ///< At least one attempt is in flight.
    answered,
    failed,
};

/// One shard of a request; a request to a single service has one part.
struct part
{
    service_id service;
    part_state state = part_state::waiting;
    /// Versions of the service that it may be sent to during a rollout.
    version_side side = version_side::any;
    bool queued = false; ///< True while it is in its service's queue.
    /// Kind of the attempt that is queued.
    attempt_kind queued_kind = attempt_kind::first;
    /// Attempts sent, except those of which nothing was written.
    std::uint32_t sends = 0;
    /// Attempts that a target may have run.
    std::uint32_t runs = 0;
    std::array<attempt_id, max_running> running{};
    attempt_id first_attempt;
    std::array<target_id, max_tried> tried{};
    /// Connections on which a target has replied to it without success.
    std::vector<connection_id> replied_on;
    target_id last_target; ///< The target that answered, or the one asked last.
    time_point first_sent;
    time_point hedge_after; ///< Earliest time of the next hedge.
    time_point retry_at;    ///< When to send it again, if it waits for that.
    time_point ended_at;
    bool over_budget = false; ///< A refusal by the retry budget was reported.

    auto operator<=>(part const&) const = default;
};

/// A caller's request that is not answered yet.
struct open_request
{
    caller_id caller;
    routed_request_ptr request;
    routing_config_ptr
        config; ///< Configuration that serves it; kept alive here.
    route const* matched_route = nullptr; ///< Points into `config`.
    time_point started;
    time_point deadline;  ///< The answer must leave before it.
    time_point objective; ///< An answer that leaves later is late.
    /// If nothing was sent by then, it is refused, unless a connection is about
    /// to open.
    time_point queue_until;
};

/// Table entry of an open request: its parts and their results.
struct request_entry
{
    open_request value;
    std::vector<part> parts;
    std::vector<target_message> answers; ///< Indexed by part.
    std::uint32_t pending_parts = 0;     ///< Parts neither answered nor failed.
    std::uint32_t answered_parts = 0;
    /// Last failure reply of a target. Relayed if the request is for a single
    /// service and nothing better comes.
    target_message failure;
    /// Reason to refuse it with if no target may have run it.
    refusal_reason refusal = refusal_reason::no_target;
    /// Time of its earliest armed timer; `max()` if none is armed.
    time_point due_at = time_point::max();
};

/// This instance's share of the connections to a target.
struct link_share
{
    std::uint32_t limit = 0; ///< Connections that this instance may have.
    /// A connection is to be opened before a request needs it.
    bool to_preconnect = false;

    auto operator<=>(link_share const&) const = default;
};

/// Table entry of a target: its registration, connections and observed state.
struct target_entry
{
    target_registration info;
    target_id id;
    service_id service;
    store_version version; ///< Of its registration.
    proximity distance = proximity::far;
    std::string region;
    bool evacuated = false; ///< Its availability zone is evacuated.
    bool displaced = false; ///< Another target answered at its address.
    bool listed = false; ///< True while it is in its service's list of targets.
    /// When it is removed, if its registration vanished during or shortly after
    /// a store outage; otherwise `max()`.
    time_point lapses_at = time_point::max();
    time_point cold_until; ///< End of its warm-up.
    token_bucket warmup;   ///< Used until `cold_until`.
    /// When charged attempts were given up that it may still read.
    std::vector<time_point> unread;
    /// When this process sent the first request to it, and when it first
    /// replied or closed the connection of a request; 0: not yet.
    time_point first_sent;
    time_point first_heard;
    target_notices notices; ///< Of its present start.
    /// Timer armed for the next request that its stated limit allows.
    time_point allowance_due;
    target_health health;
    /// Requests that this instance may have in flight at it.
    adaptive_limit concurrency;
    std::vector<connection_id> idle; ///< The most recently used is last.
    /// Empty: to be computed when next needed.
    std::optional<link_share> share;
    std::uint32_t links = 0;      ///< Connections: opening, idle or busy.
    std::uint32_t opening = 0;    ///< Connections being opened.
    time_point last_open_started; ///< When the newest connection began to open.
    std::uint32_t open_failures = 0; ///< Consecutive failures to connect.
    /// After a failure to connect: no connection is opened before this time,
    /// except the only one to the target if a request needs it.
    time_point open_after;
    /// Smoothed time to open a connection; 0: unknown.
    duration connect_time{0};
    /// Condition that was last reported to the log.
    target_condition logged_condition = target_condition::registered;
};

/// Table entry of a service: its policy, targets and queued parts.
struct service_entry
{
    std::string name;
    service_policy policy;
    bool routed = false; ///< A route of the configuration in force uses it.
    std::vector<target_id> targets;
    extra_budget budget;
    /// Set while there is a rollout order for it.
    std::optional<version_shift> shift;
    version_admission versions;
    /// Queued parts, by route priority, then in order of queueing.
    std::deque<part_key> waiting;
};

/// Progress of the graceful stop.
struct stop_progress
{
    bool requested = false;
    time_point since;
    bool callers_draining = false; ///< Callers' connections are being closed.
    bool exit_ordered = false;
    /// Era of the store in which this instance's objects were last deleted.
    store_era deleted_in{};

    auto operator<=>(stop_progress const&) const = default;
};

/// A question of another instance that waits for a change.
struct relay_question
{
    relay_caller_id caller;
    std::vector<relay_position> known;
    time_point until; ///< When it is answered at the latest.

    auto operator<=>(relay_question const&) const = default;
};

/// What this instance does for others as a relay.
struct relay_duty
{
    time_point until; ///< It is a relay until then, unless it is asked again.
    std::vector<relay_question> questions;

    auto operator<=>(relay_duty const&) const = default;
};

/// The relay through which this instance follows the store.
struct relay_source
{
    bool active = false;        ///< The relay is used instead of own calls.
    bool pending = false;       ///< A question awaits its answer.
    std::uint32_t failures = 0; ///< Relays in a row that have not served.
    std::string name;           ///< Of the instance asked last.
    std::string address;
    time_point retry_at; ///< When relays are looked for next.
    /// Until when instances that have failed are not asked, by name.
    std::map<std::string, time_point> avoided;

    auto operator<=>(relay_source const&) const = default;
};

/// What is known from before the store's present era. An object that the store
/// no longer has, or has in an earlier state, is used on for a while, since its
/// writer may write it again.
struct era_settling
{
    /// When a kind was first listed in the era; `max()`: not yet.
    std::map<store_kind, time_point> listed_at;
    std::set<store_kind> unsettled; ///< Kinds that have such objects.

    auto operator<=>(era_settling const&) const = default;
};

/// The whole state of a dispatcher.
struct dispatch_state
{
    dispatcher_init init;
    dispatch_stats stats;
    random_state random;
    std::uint64_t next_id = 1;
    stop_progress stop;
    bool ready = false;
    time_point last_request; ///< When a caller last sent a request.
    time_point next_tick;    ///< Time of the `tick` event last asked for.
    std::uint64_t timer_order = 0;
    std::priority_queue<timer_entry, std::vector<timer_entry>, std::greater<>>
        timers;

    routing_config_ptr config; ///< In force; null until one was read.
    std::map<store_kind, follow_state> follows;
    store_contact contact;
    era_settling settling;
    std::map<store_kind, replica> replicas;
    relay_duty relaying;
    relay_source source;
    /// When calls for a kind last failed or succeeded again, or the store had
    /// discarded changes of it that this instance had not read.
    std::map<store_kind, time_point> last_disruption;
    /// Newest version seen of each object; an older change is ignored.
    std::map<store_kind, std::unordered_map<std::string, store_version>>
        versions;
    std::set<std::string> evacuated;
    std::map<std::string, instance_record> instances; ///< By name.
    budget_claim claim;
    /// Writes of this instance's record that await their answer.
    std::uint32_t record_writes = 0;
    std::uint32_t written_claim = 0; ///< Claim of the last one.
    /// Reports of the other instances, by name.
    std::map<std::string, received_report> reports;
    crash_suspicions suspicions;
    answered_contents answered;
    written_report own_report;

    /// Weighted round robin state, by route.
    std::unordered_map<std::string, std::vector<std::int64_t>> split_credits;
    std::unordered_map<std::string, route_latency> latencies; ///< By route.
    std::unordered_map<service_id, service_entry> services;
    std::unordered_map<target_id, target_entry> targets;
    std::unordered_map<target_id, departed_target> departed;
    std::unordered_map<connection_id, link> links;
    std::unordered_map<attempt_id, attempt> attempts;
    std::unordered_map<request_key, request_entry> requests;
    std::unordered_map<caller_id, request_key> callers;
};

/// Draws a uniform random number from 0 to 1 (exclusive).
auto draw_fraction(dispatch_state& s) -> double;

/// Arms a timer that fires at `when`.
auto arm(dispatch_state& s, time_point when, timer what) -> void;

/// Finds the entry of a service; creates it if the service is new.
auto service_entry_of(dispatch_state& s, std::string const& name)
    -> service_entry&;

/// Rank of this instance among all known instances in order of `key`; 0 is
/// first.
template <class Key>
auto rank_of_self(dispatch_state const& s, Key const& key) -> std::size_t
{
    auto const mine = key(s.init.self);
    auto n = std::size_t{0};
    for (auto const& [name, it] : s.instances)
        n += name != s.init.self.name && key(it) < mine ? 1 : 0;
    return n;
}

/// What this instance may use of each service's retry budget.
auto terms_at(dispatch_state const& s, service_id service, time_point now)
    -> budget_terms;

/// Returns a handle that was not used before in this process.
template <class Handle>
auto next_handle(dispatch_state& s) -> Handle
{
    return Handle{s.next_id++};
}

} // namespace knapweedstream::dispatch

#endif
