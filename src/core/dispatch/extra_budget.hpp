/// Retry budget of a service: how many extra requests (hedges, retries, probes)
/// this instance may send beyond the first request for each part.
///
/// In each window an instance may send `retry_budget_ratio` times its own first
/// requests in that window, plus its share of `retry_budget_extra`. Since every
/// instance keeps to this, all instances together keep to the budget. In its
/// first window a process leaves nearly all of this to the one before it, which
/// may have spent it in the same window.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP

#include "core/dispatch/limits.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace knapweedstream::dispatch
{

/// Slots that a budget window is divided into.
constexpr auto window_slots = std::size_t{20};

/// Requests sent in one slot.
struct sent_counts
{
    std::uint32_t first = 0;
    std::uint32_t extra = 0;

    auto operator<=>(sent_counts const&) const = default;
};

/// Requests sent to a service in the last window, and the instance's share.
struct extra_budget
{
    /// Extra requests allowed per window even without first requests.
    double share = 1;
    /// What is added to a fraction of a request before it is rounded down.
    double rounding = 0;
    std::int64_t newest = 0; ///< Number of the newest slot.
    /// Ring buffer, indexed by slot number. It has one slot more than a window,
    /// so that extra requests count for at least a window and first requests
    /// for at most a window.
    std::array<sent_counts, window_slots + 1> slots{};

    auto operator<=>(extra_budget const&) const = default;
};

/// How urgent an extra request is for the caller's answer. Part of the budget
/// is reserved for the more urgent ones.
enum class urgency : std::uint8_t
{
    needed,   ///< Without it the answer is lost.
    useful,   ///< Without it the answer may be late.
    optional, ///< The answer does not need it; later requests may benefit.
};

/// Share of `dispatch_bounds::retry_budget_extra` that each of `instances` may
/// send in a window.
auto budget_share(dispatch_bounds const& bounds, std::size_t instances)
    -> double;

/// What an instance adds before it rounds down, by its rank among all: evenly
/// spread, so that the fractions of all instances together are used and no
/// more. 0 if the unused part of the bound does not cover the deviations.
auto budget_rounding(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double;

/// Sets the share and the rounding after the instances have changed.
auto with_share(extra_budget const& b, double share, double rounding = 0)
    -> extra_budget;

/// The budget with the share that may be used now: in its first window a
/// process has little of it, and reserves accordingly less.
///
/// @param[in] started Start time of this process.
auto with_usable_share(extra_budget const& b, dispatch_bounds const& bounds,
    time_point started, time_point now) -> extra_budget;

/// Counts the first request of a part.
auto with_first(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget;

/// Counts an extra request that `allows_extra` has permitted.
auto with_extra(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget;

/// Number of extra requests that the budget has left; may be negative.
///
/// @param[in] started Start time of this process.
auto extra_left(extra_budget const& b, dispatch_bounds const& bounds,
    time_point started, time_point now) -> double;

/// True if the budget allows an extra request of this urgency: at least one is
/// left beyond the part that is reserved for more urgent ones.
///
/// @param[in] left Result of `extra_left`.
auto allows_extra(extra_budget const& b, double left, urgency u) -> bool;

} // namespace knapweedstream::dispatch

#endif
