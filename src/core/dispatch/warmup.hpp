/// Rate limit for a cold target: one that has just started or has become cold
/// again, and whose registration states that it is still warming up. Limits
/// what one instance may send, so that all instances together keep to the rate
/// that the service states for cold targets.
///
/// A few instances share the rate of a cold target; the others send it nothing
/// until it is warm. Each instance uses a token bucket that holds at most one
/// request.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_WARMUP_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_WARMUP_HPP

#include "core/dispatch/limits.hpp"
#include "core/dispatch/token_bucket.hpp"

#include <cstddef>

namespace knapweedstream::dispatch
{

/// Number of instances that send to a cold target.
///
/// @param[in] rate Requests per second that the target can serve; above 0.
auto warming_instances(dispatch_bounds const& bounds, double rate)
    -> std::size_t;

/// Refills the bucket for the time since the last refill. It stays empty for
/// instances that do not share the rate.
///
/// @param[in] rate Requests per second that the target can serve; above 0.
/// @param[in] rank Position of this instance, from 0, in an order of all
///     instances that differs from target to target.
auto with_refill(token_bucket const& a, dispatch_bounds const& bounds,
    double rate, std::size_t rank, time_point now) -> token_bucket;

} // namespace knapweedstream::dispatch

#endif
