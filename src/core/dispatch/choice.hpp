/// Choice of the target that is expected to answer first.
///
/// Answers the load of one slow, full or failing replica among sound ones.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CHOICE_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CHOICE_HPP

#include "core/random.hpp"

#include <knapweedstream/time.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace knapweedstream::dispatch
{

/// A target that may take a request.
struct candidate
{
    duration typical_latency{0}; ///< Of its proximity, for this route.
    double slowness = 1;         ///< Its latency to what is typical.
    double failure_rate = 0;     ///< 0 to 1.
    std::uint32_t in_flight = 0; ///< From this instance.
    std::uint32_t slots = 1;
    duration silence{0};      ///< Without a reply to what is in flight.
    duration stall_after{0};  ///< Silence beyond it is a stall.
    duration penalty{0};      ///< For its distance.
    bool idle = false;        ///< A connection is idle.
    bool may_open = false;    ///< Another connection may be opened,
    duration connect_time{0}; ///< which takes this long.

    auto operator<=>(candidate const&) const = default;
};

/// Time until the candidate is expected to have answered a new request.
auto expected_time(candidate const& c) -> duration;

/// Chooses the candidate with the least expected time; near equals by chance.
///
/// @param[in] r Advanced by the draws.
/// @returns Its index; nothing if there is none.
auto choose(std::span<candidate const> from, random_state& r)
    -> std::optional<std::size_t>;

} // namespace knapweedstream::dispatch

#endif
