/// A target as its owner sees it: warm-up, concurrency limit and health.
#ifndef KNAPWEEDSTREAM_CORE_TARGET_HPP
#define KNAPWEEDSTREAM_CORE_TARGET_HPP

#include "port/event.hpp"

#include <knapweedstream/limits.hpp>
#include <knapweedstream/topology.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// Has not answered successfully since it started or was lost, or has shed
/// several requests in a row.
struct cold
{
    auto operator<=>(cold const&) const = default;
};

/// Answers; its concurrency limit grows over the configured warm-up time.
struct warming
{
    time_point since; ///< First successful answer.
    auto operator<=>(warming const&) const = default;
};

/// Takes its full share of requests.
struct warm
{
    auto operator<=>(warm const&) const = default;
};

using warmth = std::variant<cold, warming, warm>;

/// A target: its configuration, and its state as observed by its owner.
struct target
{
    target_id id;
    service_id service;
    shard_id shard;
    std::string address;
    zone_id zone;
    std::string version; ///< Back-end version.
    target_limits limits;
    bool zone_out = false;      ///< Its availability zone takes no new work.
    bool removed = false;       ///< No longer in the configuration.
    bool draining = false;      ///< It reported that it is draining.
    boot_id boot;               ///< 0 until its first report.
    boot_id reported_warm_boot; ///< Boot that a co-owner reported as warm.
    warmth warmth_state;
    double limit = 1e6;    ///< Adaptive concurrency limit (AIMD).
    double latency_us = 0; ///< Smoothed latency.
    std::uint32_t in_flight = 0;
    std::uint32_t failures = 0;  ///< Consecutive failures.
    std::uint32_t sheds = 0;     ///< Consecutive overload answers.
    std::uint32_t ejections = 0; ///< Since the last success.
    time_point ejected_until;
    time_point open_after;               ///< Earliest next connect.
    std::vector<std::uint64_t> versions; ///< Index versions it serves.

    auto operator<=>(target const&) const = default;
};

/// This owner's share of a target's capacity.
struct target_share
{
    std::uint32_t concurrency = 1; ///< Requests in flight when warm.
    bool primary = false;          ///< May send to it before it is warm.

    auto operator<=>(target_share const&) const = default;
};

/// Requests that this owner may have in flight on the target at `now`. Zero
/// unless the target is warm or the owner is its primary.
auto concurrency_limit(target const& t, target_share const& share,
    time_point now) -> std::uint32_t;

/// True if the target takes its full share of requests.
auto is_warm(target const& t) -> bool;

/// True if the target takes no new work: its availability zone is excluded, or
/// it is removed, draining or ejected.
auto is_unavailable(target const& t, time_point now) -> bool;

/// Returns the target after a report from it. A new boot id makes it cold,
/// unless a co-owner has reported that boot as warm.
auto with_report(target const& t, target_report const& report) -> target;

/// Returns the target after a successful answer: the concurrency limit grows,
/// and the warm-up starts, continues or ends.
auto with_success(target const& t, double latency_us, time_point now) -> target;

/// Returns the target after an overload answer: the concurrency limit falls,
/// and several such answers in a row make the target cold.
auto with_shed(target const& t, time_point now) -> target;

/// Returns the target after an error or a missing answer. Several in a row
/// eject it, each time for twice as long up to a limit.
///
/// @param[in] may_eject False to keep the target in use, as when it is the
///     only replica available.
auto with_failure(target const& t, node_limits const& limits, bool may_eject,
    time_point now) -> target;

/// Returns the target after a co-owner reported whether it is warm.
auto with_warmth(target const& t, boot_id boot, bool reported_warm) -> target;

/// Returns the target after it may have restarted: cold, with no known boot.
auto with_restart(target const& t) -> target;

} // namespace knapweedstream

#endif
