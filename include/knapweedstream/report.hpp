/// What an instance has observed and reports to all others: outcomes of
/// requests to both versions of a service during a rollout, and requests that
/// crashed targets.
#ifndef KNAPWEEDSTREAM_REPORT_HPP
#define KNAPWEEDSTREAM_REPORT_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedstream
{

/// Outcomes of requests. A request that failed is not counted as slow too.
struct outcome_counts
{
    std::uint32_t requests = 0;
    std::uint32_t failed = 0;
    std::uint32_t slow = 0; ///< Took several times the usual time of the route.

    auto operator<=>(outcome_counts const&) const = default;
};

/// Outcomes of one route's requests to the two versions of a service.
struct route_outcomes
{
    std::string route;
    outcome_counts before; ///< Of the old version.
    outcome_counts after;  ///< Of the new version.

    auto operator<=>(route_outcomes const&) const = default;
};

/// Outcomes that one instance has observed since a rollout was ordered.
struct version_evidence
{
    std::string service;
    std::string version; ///< The new version.
    std::vector<route_outcomes> routes;

    auto operator<=>(version_evidence const&) const = default;
};

/// A target that ended while it ran a request.
struct target_crash
{
    std::uint64_t print = 0; ///< Fingerprint of the request's content.
    std::string target;
    std::int64_t started_ms = 0; ///< Start of the target, as registered.

    auto operator<=>(target_crash const&) const = default;
};

/// What one instance reports to the others.
struct instance_report
{
    std::string name; ///< Of the instance.
    std::vector<version_evidence> evidence;
    std::vector<target_crash> crashes;

    auto operator<=>(instance_report const&) const = default;
};

} // namespace knapweedstream

#endif
