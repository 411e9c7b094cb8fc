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

#include <compare>
#include <cstddef>

namespace knapweedstream::dispatch
{

/// Token bucket of this instance for a cold target.
struct warmup_allowance
{
    double requests = 0; ///< Tokens: requests that may be sent now.
    time_point at;       ///< Time of the last refill, if there was one.

    auto operator<=>(warmup_allowance const&) const = default;
};

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
auto with_refill(warmup_allowance const& a, dispatch_bounds const& bounds,
    double rate, std::size_t rank, time_point now) -> warmup_allowance;

/// Takes one request out of the bucket.
auto with_sent(warmup_allowance const& a) -> warmup_allowance;

/// True if the bucket holds a request.
auto may_send(warmup_allowance const& a) -> bool;

} // namespace knapweedstream::dispatch

#endif
