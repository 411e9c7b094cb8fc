/// Room of a target: how many requests it may have at once from this instance.
///
/// Answers the load of a shard whose remaining targets cannot serve all that is
/// asked: replies that come late, or refusals, shrink the room, so that the
/// target's queue stays short and what it serves is in time. What has no room
/// is left out of a gather, hedged elsewhere or refused at once.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CONCURRENCY_LIMIT_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CONCURRENCY_LIMIT_HPP

#include "core/adaptive_limit.hpp"
#include "core/dispatch/latency.hpp"

#include <cstdint>

namespace knapweedstream::dispatch
{

/// A reply of a target, as far as its room goes.
struct concurrency_sample
{
    duration took{0};
    duration late_after{0};      ///< What `late_after` gave when it was sent.
    bool refused = false;        ///< The target had no room.
    bool good = false;           ///< It is a success.
    std::uint32_t in_flight = 0; ///< From this instance, the request included.

    auto operator<=>(concurrency_sample const&) const = default;
};

/// Time after which a reply shows that the target has too much to do: a good
/// part of the objective, and much longer than usual.
auto late_after(latency_estimate const& usual, duration objective) -> duration;

/// The room after a reply.
auto with_sample(adaptive_limit const& limit, concurrency_sample const& r,
    time_point now) -> adaptive_limit;

/// True if the target may have one more request.
auto has_capacity(adaptive_limit const& limit, std::uint32_t in_flight) -> bool;

} // namespace knapweedstream::dispatch

#endif
