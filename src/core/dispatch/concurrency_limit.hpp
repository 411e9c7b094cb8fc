/// Concurrency limit of a target: how many requests this instance may have in
/// flight at it.
///
/// Guards against overload of a shard whose remaining targets cannot serve all
/// requests: late replies and refusals lower the limit, so that the target's
/// queue stays short and what it serves is on time. A request above the limit
/// is left out of a gather, hedged to another target or refused at once.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CONCURRENCY_LIMIT_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CONCURRENCY_LIMIT_HPP

#include "core/adaptive_limit.hpp"
#include "core/dispatch/latency.hpp"

#include <cstdint>

namespace knapweedstream::dispatch
{

/// What the concurrency limit of a target learns from one of its replies.
struct concurrency_sample
{
    duration took{0};
    duration late_after{0}; ///< Value of `late_after()` when it was sent.
    bool refused = false;   ///< The target refused the request as overloaded.
    bool good = false;      ///< The reply is a success.
    std::uint32_t in_flight = 0; ///< Of this instance, this request included.

    auto operator<=>(concurrency_sample const&) const = default;
};

/// Latency above which a reply shows that the target is overloaded: a large
/// share of the objective, and much longer than usual.
auto late_after(latency_estimate const& usual, duration objective) -> duration;

/// The limit after a reply: a late reply or a refusal lowers it; a success
/// raises it if at least half of it was in use.
auto with_sample(adaptive_limit const& limit, concurrency_sample const& r,
    time_point now) -> adaptive_limit;

/// True if the limit allows one more request in flight.
///
/// @param[in] in_flight Requests of this instance at the target.
auto has_capacity(adaptive_limit const& limit, std::uint32_t in_flight) -> bool;

/// The limit for a target that asked for a pause: after it, requests return one
/// at a time first.
auto concurrency_after_pause(adaptive_limit const& limit) -> adaptive_limit;

} // namespace knapweedstream::dispatch

#endif
