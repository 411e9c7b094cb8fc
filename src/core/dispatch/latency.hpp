/// Latency estimates of a route, one for each proximity of its targets, and the
/// hedge delay derived from them.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_LATENCY_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_LATENCY_HPP

#include "core/dispatch/limits.hpp"
#include "core/quantile.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace knapweedstream::dispatch
{

/// Distance of a target from this instance.
enum class proximity : std::uint8_t
{
    zone,   ///< Same availability zone.
    region, ///< Another zone of the region.
    far,    ///< Another region.
};

constexpr auto proximity_count = std::size_t{3};

/// Latency quantiles of one route's requests to targets of one proximity.
struct latency_estimate
{
    quantile_estimate median{0.5};
    quantile_estimate high{0.95}; ///< The hedge delay is derived from it.

    auto operator<=>(latency_estimate const&) const = default;
};

/// Latency estimates of one route.
struct route_latency
{
    /// Indexed by `proximity`.
    std::array<latency_estimate, proximity_count> at;

    auto operator<=>(route_latency const&) const = default;
};

/// Adds the latency of a successful request to the estimate.
inline auto with_latency(latency_estimate const& e, duration took)
    -> latency_estimate
{
    auto const us = static_cast<double>(took.count());
    return {observe(e.median, us), observe(e.high, us)};
}

/// Samples needed before the median and the high quantile are used.
constexpr auto min_latency_samples = 5u;

/// Median latency; `fallback` if there are too few samples.
inline auto typical_latency(latency_estimate const& e, duration fallback)
    -> duration
{
    if (e.median.samples < min_latency_samples)
        return fallback;
    return duration{static_cast<duration::rep>(e.median.value_us)};
}

/// Time without a reply after which a request is hedged: the high quantile,
/// kept between two multiples of the median; `initial_hedge_delay` if there are
/// too few samples.
inline auto hedge_delay_for(
    latency_estimate const& e, dispatch_limits const& limits) -> duration
{
    if (e.median.samples < min_latency_samples)
        return limits.initial_hedge_delay;
    auto const m = e.median.value_us;
    auto const us = std::clamp(e.high.value_us, m * limits.min_hedge_factor,
        m * limits.max_hedge_factor);
    return duration{static_cast<duration::rep>(us)};
}

} // namespace knapweedstream::dispatch

#endif
