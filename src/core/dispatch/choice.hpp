/// Choice of the target that is expected to answer first.
///
/// Keeps requests away from a slow, overloaded or failing replica while healthy
/// ones are available.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CHOICE_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CHOICE_HPP

#include "core/random.hpp"

#include <knapweedstream/time.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace knapweedstream::dispatch
{

/// A target that may take a request, with what its expected time depends on.
struct candidate
{
    /// Median latency of the route for targets at the candidate's proximity.
    duration typical_latency{0};
    double slowness = 1;         ///< Its latency divided by `typical_latency`.
    double failure_rate = 0;     ///< Recent share of failed requests, 0 to 1.
    std::uint32_t in_flight = 0; ///< Requests of this instance at it.
    std::uint32_t slots = 1;     ///< Requests that it runs concurrently.
    duration silence{0}; ///< Time without a reply to the requests in flight.
    duration stall_after{0};  ///< A longer silence counts as a stall.
    duration penalty{0};      ///< Added for a target in another region.
    bool idle = false;        ///< An idle connection can be used.
    bool may_open = false;    ///< A new connection may be opened.
    duration connect_time{0}; ///< Expected time to open a connection.

    auto operator<=>(candidate const&) const = default;
};

/// Expected time until the candidate has answered a new request, including the
/// expected cost of a failure or stall.
auto expected_time(candidate const& c) -> duration;

/// Chooses the candidate with the least expected time. A small random
/// factor spreads requests over candidates of nearly equal time.
///
/// @param[in,out] r Advanced by one draw.
/// @returns Index of the candidate; empty if there are none.
auto choose(std::span<candidate const> from, random_state& r)
    -> std::optional<std::size_t>;

} // namespace knapweedstream::dispatch

#endif
