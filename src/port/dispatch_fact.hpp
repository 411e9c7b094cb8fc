/// Facts that explain what the dispatcher did: decisions that touch a request
/// and changes of what it believes.
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
    first,  ///< The first one for its shard.
    hedge,  ///< The earlier one is slow.
    rescue, ///< The earlier one is slow and the answer late already.
    retry,  ///< The earlier one failed.
    probe,  ///< A suspended target is tried beside another one.
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t
{
    success,
    failure,      ///< The target answered with a failure.
    overloaded,   ///< Not run.
    wrong_target, ///< Not run.
    unusable,     ///< Its answer belongs to another request.
    lost,         ///< The connection broke.
    unsent,       ///< The connection broke before a byte was written.
    turned_away,  ///< The target had more connections than it accepts.
    abandoned,    ///< No longer wanted.
};

/// A second or later request was sent for a shard.
struct extra_sent
{
    std::string request;
    std::string service;
    std::string target;
    attempt_kind kind = attempt_kind::hedge;
    duration waited{0};   ///< Since the shard's first attempt.
    duration patience{0}; ///< After which a hedge was due.
    double budget = 0;    ///< Extra requests left.
    auto operator<=>(extra_sent const&) const = default;
};

/// An attempt ended without success.
struct attempt_failed
{
    std::string request;
    std::string service;
    std::string target;
    attempt_end how = attempt_end::failure;
    std::uint32_t status = 0;
    duration after{0}; ///< Since it was sent.
    auto operator<=>(attempt_failed const&) const = default;
};

/// A hedge or retry was wanted and the budget was used up.
struct budget_exhausted
{
    std::string request;
    std::string service;
    attempt_kind kind = attempt_kind::hedge;
    auto operator<=>(budget_exhausted const&) const = default;
};

/// What became of one shard of a request.
struct part_summary
{
    std::string service;
    std::string target; ///< That answered, or was asked last; may be empty.
    std::uint32_t sent = 0;
    duration took{0}; ///< From its first attempt to its end.
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
    abandoned, ///< The caller hung up.
};

/// A request ended.
struct request_ended
{
    std::string request;
    std::string route;
    std::uint64_t config = 0; ///< Version it was served by.
    request_end how = request_end::complete;
    std::uint32_t status = 0; ///< Of a relayed answer.
    std::string reason;       ///< If refused or failed.
    duration retry_after{0};  ///< If refused.
    duration elapsed{0};
    duration deadline{0}; ///< It had in all.
    std::vector<part_summary> parts;
    auto operator<=>(request_ended const&) const = default;
};

/// What the dispatcher thinks of a target.
enum class target_condition : std::uint8_t
{
    registered,
    changed,
    draining,
    gone,
    displaced, ///< Another target has its address.
    slow,      ///< Takes much longer than its like.
    stalled,   ///< Has not answered for long.
    failing,   ///< Fails or refuses many requests.
    down,      ///< No connection can be opened.
    recovered,
};

/// The view of a target has changed.
struct target_condition_changed
{
    std::string target;
    std::string service;
    std::string address;
    target_condition condition = target_condition::registered;
    std::string details;        ///< Figures that decided it.
    std::uint64_t revision = 0; ///< Of its registration.
    auto operator<=>(target_condition_changed const&) const = default;
};

/// A configuration is in force.
struct config_applied
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::size_t routes = 0;
    auto operator<=>(config_applied const&) const = default;
};

/// A configuration was not taken: it is older than the one in force.
struct config_ignored
{
    std::uint64_t version = 0;
    std::uint64_t applied_version = 0;
    auto operator<=>(config_ignored const&) const = default;
};

/// An object of the store was passed over.
struct object_skipped
{
    store_kind kind = store_kind::configuration;
    std::string name;
    std::string reason;
    auto operator<=>(object_skipped const&) const = default;
};

/// A kind can no longer be followed, or can be again.
struct store_availability_changed
{
    store_kind kind = store_kind::configuration;
    bool lost = false;
    store_failure failure = store_failure::unreachable; ///< If lost.
    std::uint64_t revision = 0;                         ///< Known so far.
    auto operator<=>(store_availability_changed const&) const = default;
};

/// A waiting watch has not brought changes that the store holds.
struct watch_stalled
{
    store_kind kind = store_kind::configuration;
    std::uint64_t known = 0;  ///< Revision that the watch has reached.
    std::uint64_t newest = 0; ///< Revision of the data that showed it.
    std::size_t changes = 0;  ///< Not brought.
    auto operator<=>(watch_stalled const&) const = default;
};

/// A zone was evacuated, or taken back in.
struct zone_changed
{
    std::string zone;
    bool evacuated = false;
    std::uint64_t revision = 0;
    auto operator<=>(zone_changed const&) const = default;
};

/// A rollout order was taken up, has moved on, or its state was written.
struct rollout_progressed
{
    std::string service;
    std::string version;
    std::string phase;
    std::uint64_t revision = 0; ///< Of the order.
    std::string details;        ///< Results that decided it.
    auto operator<=>(rollout_progressed const&) const = default;
};

/// The instance takes callers, or no longer does.
struct readiness_changed
{
    bool ready = false;
    std::string reason;
    auto operator<=>(readiness_changed const&) const = default;
};

using fact = std::variant<extra_sent, attempt_failed, budget_exhausted,
    request_ended, target_condition_changed, config_applied, config_ignored,
    object_skipped, store_availability_changed, watch_stalled, zone_changed,
    rollout_progressed, readiness_changed>;

} // namespace knapweedstream::dispatch

#endif
