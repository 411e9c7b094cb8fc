/// Judges a new version of a service by the outcomes of requests to it and to
/// the old version, summed over all instances.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_EVIDENCE_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_EVIDENCE_HPP

#include <knapweedstream/report.hpp>
#include <knapweedstream/rollout.hpp>

#include <span>
#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// Outcome of one request to a version of a service.
enum class version_outcome : std::uint8_t
{
    good,
    slow,
    failed,
};

/// Adds the outcome of a request on a route.
///
/// @param[in] is_new The request went to the new version.
auto with_outcome(std::vector<route_outcomes> routes, std::string const& route,
    bool is_new, version_outcome outcome) -> std::vector<route_outcomes>;

/// Adds up two observations, route by route.
auto with_sum(std::vector<route_outcomes> sum,
    std::span<route_outcomes const> more) -> std::vector<route_outcomes>;

/// Outcomes of all routes together; the route's name is empty.
auto total_of(std::span<route_outcomes const> routes) -> route_outcomes;

/// Fault of the new version, on any route or on all of them together; `none` if
/// it is not significantly worse than the old version.
auto fault_of(std::span<route_outcomes const> routes) -> rollout_fault;

/// True if enough requests have gone to the new version to call it good: a
/// minimum, or a fixed share of the few that there were.
auto is_proven(std::span<route_outcomes const> routes) -> bool;

} // namespace knapweedstream::dispatch

#endif
