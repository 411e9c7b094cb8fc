/// Running estimate of a latency quantile in constant space.
#ifndef KNAPWEEDSTREAM_CORE_QUANTILE_HPP
#define KNAPWEEDSTREAM_CORE_QUANTILE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Estimate of one quantile by stochastic approximation.
struct quantile_estimate
{
    double quantile = 0.95;
    double value_us = 0; ///< Estimate, microseconds.
    std::uint32_t samples = 0;

    auto operator<=>(quantile_estimate const&) const = default;
};

/// Returns the estimate with one more sample.
///
/// @remarks A sample above the estimate raises it by `quantile` of a step, any
///     other lowers it by `1 - quantile` of a step. The step is a fixed share
///     of the estimate, so it follows drift within a few hundred samples.
inline auto observe(quantile_estimate const& e, double sample_us)
    -> quantile_estimate
{
    constexpr auto step_share = 0.05;
    if (e.samples == 0)
        return {e.quantile, std::max(1.0, 2 * sample_us), 1};
    auto const step = std::max(1.0, e.value_us * step_share);
    auto const v = sample_us > e.value_us
                       ? e.value_us + step * e.quantile
                       : e.value_us - step * (1 - e.quantile);
    return {e.quantile, std::max(1.0, v), e.samples + 1};
}

} // namespace knapweedstream

#endif
