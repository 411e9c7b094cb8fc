/// Facts that the dispatcher reports to the log and the metrics: decisions on
/// requests, and state changes of targets, the store and rollouts.
#ifndef KNAPWEEDSTREAM_PORT_DISPATCH_FACT_HPP
#define KNAPWEEDSTREAM_PORT_DISPATCH_FACT_HPP

#include "port/dispatch_event.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream::dispatch
{

/// Why a request was sent to a target.
enum class attempt_kind : std::uint8_t
{
    first,  ///< First send for its part; repeated if it was not written.
    hedge,  ///< An earlier attempt is slow.
    rescue, ///< Like a hedge, but sent after the latency objective.
    retry,  ///< An earlier attempt failed.
    probe,  ///< Tests a suspended target in parallel to another target.
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    success,
    failure,      ///< The target reported a failure.
    overloaded,   ///< The target was full; not run.
    wrong_target, ///< Another target has the address; not run.
    unusable,     ///< The reply was to another request or invalid.
    lost,         ///< The connection broke.
    unsent,       ///< The connection broke before any byte was written.
    turned_away,  ///< A new connection was reset at once, as by a target that
                  ///< has too many; the request may have run.
    abandoned,    ///< Its result is no longer needed.
};

/// A hedge, rescue, retry or probe was sent for a part of a request.
struct extra_sent
{
    std::string request;
    std::string service;
    std::string target;
    attempt_kind kind = attempt_kind::hedge;
    duration waited{0};      ///< Since the first attempt for the part.
    duration hedge_delay{0}; ///< Time after which this attempt is slow.
    double budget = 0;       ///< Extra requests left in the budget.
    connection_id connection;
    auto operator<=>(extra_sent const&) const = default;
};

/// An attempt ended without success.
struct attempt_failed
{
    std::string request;
    std::string service;
    std::string target;
    attempt_end how = attempt_end::failure;
    std::uint32_t status = 0; ///< HTTP status of a failure; otherwise 0.
    duration after{0};        ///< Time since it was sent.
    connection_id connection;
    duration connection_age{0}; ///< Since the connection was opened.
    auto operator<=>(attempt_failed const&) const = default;
};

/// A hedge or retry was due but the budget was exhausted.
struct budget_exhausted
{
    std::string request;
    std::string service;
    attempt_kind kind = attempt_kind::hedge;
    auto operator<=>(budget_exhausted const&) const = default;
};

/// Outcome of one part of a request. A request has a part for each shard, or a
/// single one if its route has no shards.
struct part_summary
{
    std::string service;
    std::string target;     ///< That answered, or was asked last; empty: none.
    std::uint32_t sent = 0; ///< Attempts sent.
    duration took{0};       ///< From the first attempt to the end.
    bool answered = false;
    auto operator<=>(part_summary const&) const = default;
};

/// How a request ended.
enum class request_end : std::uint8_t
{
    complete,
    partial,
    refused,
    failed,
    abandoned, ///< The caller disconnected.
};

/// A request was answered or abandoned.
struct request_ended
{
    std::string request;
    std::string route;
    std::uint64_t config = 0; ///< Version of the configuration used.
    request_end how = request_end::complete;
    std::uint32_t status = 0; ///< HTTP status of a relayed answer.
    std::string reason;       ///< Set if refused or failed.
    duration retry_after{0};  ///< Set if refused.
    duration elapsed{0};
    duration deadline{0}; ///< From start to deadline.
    std::vector<part_summary> parts;
    auto operator<=>(request_ended const&) const = default;
};

/// Condition of a target as seen by this instance.
enum class target_condition : std::uint8_t
{
    registered,
    changed,
    draining,
    gone,
    displaced, ///< Another target listens at its address.
    slow,      ///< Much slower than is typical.
    stalled,   ///< Suspended, since requests were overdue or lost.
    failing,   ///< Fails or refuses many requests.
    down,      ///< No connection can be established.
    recovered,
    limited,   ///< It states how many requests per second it takes.
    unlimited, ///< It no longer does.
    paused,    ///< It asked for a pause.
    leaving,   ///< It said in a reply that it stops soon.
};

/// The condition of a target has changed.
struct target_condition_changed
{
    std::string target;
    std::string service;
    std::string address;
    target_condition condition = target_condition::registered;
    std::string details;        ///< Figures behind the change, as `key=value`.
    std::uint64_t revision = 0; ///< Revision of its registration.
    auto operator<=>(target_condition_changed const&) const = default;
};

/// A new configuration was applied.
struct config_applied
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::size_t routes = 0;
    auto operator<=>(config_applied const&) const = default;
};

/// A configuration was ignored because it is older than the one applied.
struct config_ignored
{
    std::uint64_t version = 0;
    std::uint64_t applied_version = 0;
    auto operator<=>(config_ignored const&) const = default;
};

/// An object of the store was skipped because it could not be decoded.
struct object_skipped
{
    store_kind kind = store_kind::configuration;
    std::string name;
    std::string reason;
    auto operator<=>(object_skipped const&) const = default;
};

/// Objects that the store returned are older than those known, and were
/// ignored.
struct objects_outdated
{
    store_kind kind = store_kind::configuration;
    std::size_t objects = 0;
    std::string name;           ///< Of the first of them.
    std::uint64_t revision = 0; ///< Of the first of them.
    std::uint64_t known = 0;    ///< Revision known of it.
    auto operator<=>(objects_outdated const&) const = default;
};

/// The store has come back from an older copy of its data.
struct store_restored
{
    std::uint64_t before = 0; ///< Era known before.
    std::uint64_t era = 0;
    std::string learned_from;   ///< Kind of message that stated the new era.
    std::uint64_t revision = 0; ///< Newest revision seen in the era before.
    auto operator<=>(store_restored const&) const = default;
};

/// Objects of a kind can no longer be read from the store, or can be again.
struct store_availability_changed
{
    store_kind kind = store_kind::configuration;
    bool lost = false;
    store_failure failure = store_failure::unreachable; ///< Set if lost.
    std::uint64_t revision = 0; ///< Latest revision known.
    auto operator<=>(store_availability_changed const&) const = default;
};

/// All pages of a list were read. Each shows the store at a revision of its
/// own, as stale reads differ in age.
struct list_read
{
    store_kind kind = store_kind::configuration;
    std::size_t pages = 0;
    std::size_t objects = 0;
    std::uint64_t oldest = 0; ///< Least revision of a page; watched from it.
    std::uint64_t newest = 0; ///< Greatest revision of a page.
    auto operator<=>(list_read const&) const = default;
};

/// A list could not be read to its end; the objects of its pages are in use.
struct list_cut
{
    store_kind kind = store_kind::configuration;
    std::size_t pages = 0;
    std::size_t objects = 0;
    std::string last; ///< Last name on the last page; empty if it has none.
    auto operator<=>(list_cut const&) const = default;
};

/// The first request came while no watch of the targets was waiting, so that
/// the targets are known as they were some time ago.
struct targets_known_late
{
    duration age{0}; ///< Since the last answer on targets.
    std::uint64_t revision = 0;
    auto operator<=>(targets_known_late const&) const = default;
};

/// A pending watch has not delivered changes that the store has.
struct watch_stalled
{
    store_kind kind = store_kind::configuration;
    std::uint64_t known = 0;  ///< Revision that the watch waits at.
    std::uint64_t newest = 0; ///< Revision of the data that was checked.
    std::size_t changes = 0;  ///< Number of changes not delivered.
    auto operator<=>(watch_stalled const&) const = default;
};

/// This instance follows the store through another instance, or by its own
/// calls again.
struct store_source_changed
{
    std::string relay;          ///< Name of the other instance; empty: none.
    std::string reason;         ///< Why it changed.
    std::uint64_t revision = 0; ///< Newest revision of the store seen.
    auto operator<=>(store_source_changed const&) const = default;
};

/// A zone was evacuated or returned to service.
struct zone_changed
{
    std::string zone;
    bool evacuated = false;
    std::uint64_t revision = 0;
    auto operator<=>(zone_changed const&) const = default;
};

/// A rollout order was accepted or entered another phase.
struct rollout_progressed
{
    std::string service;
    std::string version;
    std::string phase;          ///< Name of the new phase.
    std::uint64_t revision = 0; ///< Revision of the order.
    std::string details; ///< Failures and requests by version, as `key=value`.
    auto operator<=>(rollout_progressed const&) const = default;
};

/// A target ended while it ran a request, which may have caused it.
struct crash_suspected
{
    std::uint64_t print = 0; ///< Fingerprint of the request's content.
    std::string target;
    std::int64_t started_ms = 0; ///< Start of the target, as registered.
    auto operator<=>(crash_suspected const&) const = default;
};

/// A target said something of itself that could not be read.
struct statement_ignored
{
    std::string target;
    std::string service;
    std::string what; ///< What was said.
    auto operator<=>(statement_ignored const&) const = default;
};

/// The instance became ready for callers or stopped being so.
struct readiness_changed
{
    bool ready = false;
    std::string reason;
    auto operator<=>(readiness_changed const&) const = default;
};

/// Any fact that the dispatcher reports.
using fact = std::variant<extra_sent, attempt_failed, budget_exhausted,
    request_ended, target_condition_changed, config_applied, config_ignored,
    object_skipped, objects_outdated, store_restored,
    store_availability_changed, list_read, list_cut, targets_known_late,
    watch_stalled, store_source_changed, zone_changed, rollout_progressed,
    crash_suspected, statement_ignored, readiness_changed>;

} // namespace knapweedstream::dispatch

#endif
