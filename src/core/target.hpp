/// One target as its owner sees it: warmth, concurrency limit, health.
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

/// Has not answered since its start.
struct cold
{
    auto operator<=>(cold const&) const = default;
};

/// Answers; its limit grows over the stated warm-up time.
struct warming
{
    time_point since;
    auto operator<=>(warming const&) const = default;
};

/// Bears full load.
struct warm
{
    auto operator<=>(warm const&) const = default;
};

using warmth = std::variant<cold, warming, warm>;

/// A target and what its owner has learned of it.
struct target
{
    target_id id;
    service_id service;
    shard_id shard;
    std::string address;
    zone_id zone;
    std::string version; ///< Back-end version.
    target_limits limits;
    bool zone_out = false;      ///< Its availability zone is taken out.
    bool removed = false;       ///< No longer in the configuration.
    bool draining = false;      ///< It said that it is leaving.
    boot_id boot;               ///< 0 until greeted.
    boot_id reported_warm_boot; ///< Boot that a co-owner called warm.
    warmth warmth_state;
    double limit = 1e6;    ///< Adaptive concurrency limit (AIMD).
    double latency_us = 0; ///< Smoothed latency.
    std::uint32_t in_flight = 0;
    std::uint32_t failures = 0; ///< In a row.
    std::uint32_t sheds = 0;    ///< In a row.
    std::uint32_t ejections = 0;
    time_point ejected_until;
    time_point open_after;               ///< No new connection before.
    std::vector<std::uint64_t> versions; ///< Index versions it serves.

    auto operator<=>(target const&) const = default;
};

/// This owner's part of a target's capacity.
struct target_share
{
    std::uint32_t concurrency = 1; ///< In flight at full warmth.
    bool primary = false;          ///< May warm the target.

    auto operator<=>(target_share const&) const = default;
};

/// Requests that this owner may have in flight on the target.
auto concurrency_limit(target const& t, target_share const& share,
    time_point now) -> std::uint32_t;

/// True if the target bears full load.
auto is_warm(target const& t) -> bool;

/// True while no new work may go to the target.
auto is_unavailable(target const& t, time_point now) -> bool;

/// The target was greeted or answered; a new boot id makes it cold.
auto with_report(target const& t, target_report const& report) -> target;

/// The target answered in time.
auto with_success(target const& t, double latency_us, time_point now) -> target;

/// The target refused for overload.
auto with_shed(target const& t, time_point now) -> target;

/// The target failed or did not answer.
///
/// @param[in] may_eject False if too many replicas are ejected already.
auto with_failure(target const& t, node_limits const& limits, bool may_eject,
    time_point now) -> target;

/// A co-owner told the target's warmth.
auto with_warmth(target const& t, boot_id boot, bool reported_warm) -> target;

/// The target lost its connections and may have restarted.
auto with_restart(target const& t) -> target;

} // namespace knapweedstream

#endif
