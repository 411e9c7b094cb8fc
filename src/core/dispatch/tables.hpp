/// The tables of the dispatcher. An entry's value is replaced by its successor.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_TABLES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_TABLES_HPP

#include "core/adaptive_limit.hpp"
#include "core/dispatch/dispatcher.hpp"
#include "core/dispatch/extra_budget.hpp"
#include "core/dispatch/follow.hpp"
#include "core/dispatch/health.hpp"
#include "core/dispatch/latency.hpp"
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

using request_key = handle<struct request_tag>; ///< One request in flight.

/// Names a part (one shard) of a request.
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

/// A connection to a target.
struct link
{
    connection_id id;
    target_id to;
    link_state state = link_state::opening;
    attempt_id attempt;                          ///< If busy.
    time_point since;                            ///< Of this state.
    time_point usable_until = time_point::max(); ///< The target closes it then.
    bool replied = false;                        ///< A reply has come on it.

    auto operator<=>(link const&) const = default;
};

/// One request to a target.
struct attempt
{
    attempt_id id;
    part_key part;
    target_id to;
    connection_id over;
    attempt_kind kind = attempt_kind::first;
    time_point sent_at;
    duration patience{0};   ///< After which it is worth a hedge.
    duration late_after{0}; ///< A later reply shows that the target is full.
    bool overdue = false;   ///< Told to the target's health.
    bool abandoned = false; ///< Its reply is no longer wanted.

    auto operator<=>(attempt const&) const = default;
};

constexpr auto max_running = std::size_t{3}; ///< Attempts of a part at once.
constexpr auto max_tried = std::size_t{6};   ///< Targets remembered a part.

/// How far a part has come.
enum class part_state : std::uint8_t
{
    waiting, ///< For a connection.
    running, ///< At least one attempt is out.
    answered,
    failed,
};

/// One shard of a request; a request to one service has one.
struct part
{
    service_id service;
    part_state state = part_state::waiting;
    version_side side = version_side::any;   ///< While versions are shifted.
    bool queued = false;                     ///< Stands in its service's queue.
    attempt_kind next = attempt_kind::first; ///< Kind of the queued send.
    std::uint32_t sends = 0;                 ///< Requests sent.
    std::uint32_t runs = 0; ///< Of these, all that may have run.
    std::array<attempt_id, max_running> running{};
    std::array<target_id, max_tried> tried{};
    target_id last; ///< Asked last, or that answered.
    time_point first_sent;
    time_point hedge_after; ///< No further hedge before.
    time_point retry_at;    ///< If it waits to be sent again.
    time_point ended_at;
    bool over_budget = false; ///< A hedge could not be paid; told once.

    auto operator<=>(part const&) const = default;
};

/// A request in flight.
struct open_request
{
    caller_id caller;
    routed_request_ptr request;
    routing_config_ptr config; ///< Version that serves it.
    route const* by = nullptr; ///< In `config`.
    time_point started;
    time_point deadline;    ///< The answer leaves before it.
    time_point objective;   ///< Beyond it an answer is late.
    time_point queue_until; ///< Refused if nothing was sent by then.
};

/// Table entry of a request.
struct request_entry
{
    open_request value;
    std::vector<part> parts;
    std::vector<target_message> answers; ///< By part.
    std::uint32_t open = 0;              ///< Parts neither answered nor failed.
    std::uint32_t good = 0;              ///< Parts answered.
    target_message failure; ///< A target's failure that may be passed on.
    refusal_reason refusal = refusal_reason::no_target; ///< If none ran.
    time_point looked_at = time_point::max(); ///< Next look, if armed.
};

/// Connections that this instance may have to a target.
struct link_share
{
    std::uint32_t limit = 0;
    bool ahead = false; ///< One is opened ahead of need.

    auto operator<=>(link_share const&) const = default;
};

/// A target with its connections.
struct target_entry
{
    target_registration info;
    target_id id;
    service_id service;
    std::uint64_t revision = 0; ///< Of its registration.
    proximity where = proximity::far;
    std::string region;
    bool evacuated = false;
    bool displaced = false; ///< Another target answers at its address.
    bool listed = false;    ///< Stands in its service's list.
    time_point lapses = time_point::max(); ///< Vanished; gone at this time.
    time_point cold_until;
    warmup_allowance warmup; ///< While it is cold.
    target_health health;
    adaptive_limit room; ///< Requests that it may have at once from here.
    std::vector<connection_id> idle; ///< The one used last is the last.
    std::optional<link_share> share; ///< Worked out when needed.
    std::uint32_t links = 0;         ///< Opening, idle or busy.
    std::uint32_t opening = 0;
    time_point opened_last;          ///< When the newest opening began.
    std::uint32_t open_failures = 0; ///< In a row.
    time_point open_after;           ///< No new connection before.
    duration opening_takes{0};       ///< Smoothed; 0: unknown.
    target_condition told =
        target_condition::registered; ///< Last view in the log.
};

/// A service and its targets.
struct service_entry
{
    std::string name;
    service_policy policy;
    bool routed = false; ///< A route of the configuration in force uses it.
    std::vector<target_id> targets;
    extra_budget budget;
    std::optional<version_shift> shift; ///< While a rollout order stands.
    std::deque<part_key> waiting;       ///< Parts that need a connection.
};

// What a timer is for. A timer that has become pointless does nothing.
struct request_due
{
    request_key request; ///< Hedges, queue limit, objective or deadline.
    auto operator<=>(request_due const&) const = default;
};
struct loser_due
{
    attempt_id attempt; ///< Abandoned and still out.
    auto operator<=>(loser_due const&) const = default;
};
struct link_due
{
    connection_id connection; ///< Not opened in time, or idle for too long.
    auto operator<=>(link_due const&) const = default;
};
struct target_due
{
    target_id target; ///< May be connected to again, or has lapsed.
    auto operator<=>(target_due const&) const = default;
};
struct follow_due
{
    store_kind kind = store_kind::configuration;
    auto operator<=>(follow_due const&) const = default;
};
struct shift_due
{
    service_id service; ///< Its rollout order may move on.
    auto operator<=>(shift_due const&) const = default;
};
struct check_due
{
    auto operator<=>(check_due const&) const = default;
};
struct stop_due
{
    auto operator<=>(stop_due const&) const = default;
};

using timer = std::variant<request_due, loser_due, link_due, target_due,
    follow_due, check_due, shift_due, stop_due>;

/// A timer with its time; `order` keeps equal times in arming order.
struct timed
{
    time_point when;
    std::uint64_t order = 0;
    timer what;

    auto operator>(timed const& it) const -> bool
    {
        return when != it.when ? when > it.when : order > it.order;
    }
};

/// Whether the instance is leaving, and how far it has come.
struct stopping
{
    bool asked = false;
    time_point since;
    bool retired = false; ///< Callers' connections were retired.
    bool left = false;    ///< The exit was ordered.

    auto operator<=>(stopping const&) const = default;
};

/// All tables of a dispatcher.
struct dispatch_state
{
    dispatcher_init init;
    dispatch_stats stats;
    time_point started;
    random_state random;
    std::uint64_t next_id = 1;
    stopping stop;
    bool ready = false;
    time_point last_request; ///< When a caller last asked for anything.
    time_point armed;
    std::uint64_t timer_order = 0;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> timers;

    routing_config_ptr config; ///< In force; null before the first one.
    std::uint64_t config_revision = 0;
    std::map<store_kind, followed> follows;
    std::optional<store_kind> prober; ///< Asks for the store while it is away.
    std::uint64_t checked = 0; ///< Store's revision when all watches were
                               ///< last checked.
    std::map<store_kind, time_point> last_trouble; ///< Of following a kind.
    /// Newest revision seen of each object.
    std::map<store_kind, std::unordered_map<std::string, std::uint64_t>>
        revisions;
    std::set<std::string> evacuated;
    std::map<std::string, instance_record> instances;

    std::unordered_map<std::string, std::vector<std::int64_t>> splits;
    std::unordered_map<std::string, route_latency> latencies; ///< By route.
    std::unordered_map<service_id, service_entry> services;
    std::unordered_map<target_id, target_entry> targets;
    std::unordered_map<connection_id, link> links;
    std::unordered_map<attempt_id, attempt> attempts;
    std::unordered_map<request_key, request_entry> requests;
    std::unordered_map<caller_id, request_key> callers;
};

/// Drawn evenly from 0 to 1.
auto fraction(dispatch_state& s) -> double;

/// Arms a timer.
auto arm(dispatch_state& s, time_point when, timer what) -> void;

/// The entry of a service, made if it is new.
auto service_entry_of(dispatch_state& s, std::string const& name)
    -> service_entry&;

/// Place of this instance among all that are known, by a key of each; 0 is
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

/// Extra requests to a service that this instance may save up.
auto budget_share_of(dispatch_state const& s) -> double;

/// A handle that this process has not used.
template <class Handle>
auto next_handle(dispatch_state& s) -> Handle
{
    return Handle{s.next_id++};
}

} // namespace knapweedstream::dispatch

#endif
