/// Load of a target that has just started, or turned cold again: what one
/// instance may send it, so that all together keep to what it bears.
///
/// A few instances share a cold target's rate; the others leave it alone until
/// it is warm. Each sends at most one request beyond its part of the rate.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_WARMUP_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_WARMUP_HPP

#include "core/dispatch/limits.hpp"

#include <compare>
#include <cstddef>

namespace knapweedstream::dispatch
{

/// Requests that this instance may send to a cold target now.
struct warmup_allowance
{
    double requests = 0;
    time_point at; ///< When it was last worked out; before that: never.

    auto operator<=>(warmup_allowance const&) const = default;
};

/// Number of instances that send to a cold target.
///
/// @param[in] rate What the target bears, requests a second; above 0.
auto warming_instances(dispatch_bounds const& bounds, double rate)
    -> std::size_t;

/// The allowance at present.
///
/// @param[in] rank Of this instance among all, for this target; 0 is first.
auto with_refill(warmup_allowance const& a, dispatch_bounds const& bounds,
    double rate, std::size_t rank, time_point now) -> warmup_allowance;

/// One request was sent.
auto with_sent(warmup_allowance const& a) -> warmup_allowance;

/// True if a request may be sent.
auto may_send(warmup_allowance const& a) -> bool;

} // namespace knapweedstream::dispatch

#endif
