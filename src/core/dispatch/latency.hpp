/// Typical latencies of a route, apart for near and far targets.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_LATENCY_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_LATENCY_HPP

#include "core/dispatch/limits.hpp"
#include "core/quantile.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace knapweedstream::dispatch
{

/// How far a target is from this instance.
enum class proximity : std::uint8_t
{
    zone,   ///< Same availability zone.
    region, ///< Another zone of the region.
    far,    ///< Another region.
};

constexpr auto proximity_count = std::size_t{3};

/// Latency of one route's requests to targets of one proximity.
struct latency_estimate
{
    quantile_estimate low{0.05};
    quantile_estimate median{0.5};
    quantile_estimate high{0.95};

    auto operator<=>(latency_estimate const&) const = default;
};

/// Latency of one route's requests.
struct route_latency
{
    std::array<latency_estimate, proximity_count> at;

    auto operator<=>(route_latency const&) const = default;
};

/// Takes the latency of a successful request in.
inline auto with_latency(latency_estimate const& e, duration took)
    -> latency_estimate
{
    auto const us = static_cast<double>(took.count());
    return {observe(e.low, us), observe(e.median, us), observe(e.high, us)};
}

constexpr auto min_latency_samples = 5u; ///< Before an estimate is used.

/// Time that a request is expected to take; `otherwise` if unknown.
inline auto typical_latency(latency_estimate const& e, duration fallback)
    -> duration
{
    if (e.median.samples < min_latency_samples)
        return fallback;
    return duration{static_cast<duration::rep>(e.median.value_us)};
}

constexpr auto min_low_samples = 20u; ///< Likewise for the low quantile.

/// Time before which hardly any reply comes; `otherwise` if unknown.
inline auto earliest_latency(latency_estimate const& e, duration fallback)
    -> duration
{
    if (e.low.samples < min_low_samples)
        return fallback;
    return duration{static_cast<duration::rep>(e.low.value_us)};
}

/// Time after which a request is slow enough for a hedge.
inline auto hedge_delay_for(
    latency_estimate const& e, dispatch_limits const& limits) -> duration
{
    if (e.median.samples < min_latency_samples)
        return limits.first_patience;
    auto const m = e.median.value_us;
    auto const us = std::clamp(e.high.value_us, m * limits.min_hedge_factor,
        m * limits.max_hedge_factor);
    return duration{static_cast<duration::rep>(us)};
}

} // namespace knapweedstream::dispatch

#endif
