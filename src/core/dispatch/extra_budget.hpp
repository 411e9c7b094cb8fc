/// Budget of extra requests to a service: this instance's part of what all
/// instances together may send beyond the first request for each part.
///
/// In each window an instance may send the stated ratio of its first requests
/// in that window, and its share of the stated number on top. Both hold for
/// every instance, and so for their sum. An instance that has just started has
/// its share only little by little, since the process before it may have spent
/// it in the same window.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP

#include "core/dispatch/limits.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace knapweedstream::dispatch
{

constexpr auto window_slots = std::size_t{20}; ///< Parts of a budget window.

/// Requests sent in one part of a window.
struct sent_counts
{
    std::uint32_t first = 0;
    std::uint32_t extra = 0;

    auto operator<=>(sent_counts const&) const = default;
};

/// What was sent to a service in the last window.
struct extra_budget
{
    double share = 1;        ///< Extra requests a window without first ones.
    std::int64_t newest = 0; ///< Number of the newest slot.
    /// By slot number, in turn. One more than a window has, so that extra
    /// requests are counted for at least a window and first ones for at most.
    std::array<sent_counts, window_slots + 1> slots{};

    auto operator<=>(extra_budget const&) const = default;
};

/// How much a caller loses if an extra request is left out.
enum class urgency : std::uint8_t
{
    needed,   ///< Without it an answer is lost.
    useful,   ///< Without it an answer may be late.
    optional, ///< Only later requests gain by it.
};

/// Part of the stated number that one of `instances` may send in a window.
auto budget_share(dispatch_bounds const& bounds, std::size_t instances)
    -> double;

/// The share changed, as instances came or went.
auto with_share(extra_budget const& b, double share) -> extra_budget;

/// Counts the first request of a part.
auto with_first(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget;

/// Counts an extra request; `can_pay` must hold.
auto with_extra(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget;

/// Extra requests that may be sent now.
///
/// @param[in] started Start of this process.
auto extra_left(extra_budget const& b, dispatch_bounds const& bounds,
    time_point started, time_point now) -> double;

/// True if an extra request can be paid and leaves enough to more urgent ones.
///
/// @param[in] left What `extra_left` gives.
auto can_pay(extra_budget const& b, double left, urgency u) -> bool;

} // namespace knapweedstream::dispatch

#endif
