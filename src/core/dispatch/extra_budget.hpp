/// Retry budget of a service: how many extra requests (hedges, retries, probes)
/// this instance may send beyond the first request for each part.
///
/// In each span of time up to a window, an instance may send
/// `retry_budget_ratio` times its own first requests in that span, plus what
/// its claim gives it of `retry_budget_extra` (see `budget_claim`). Since this
/// holds from any moment on, the first requests of all instances add up to
/// those of one window, also if callers move to other instances or processes
/// are replaced meanwhile. An extra request is charged from when it is sent
/// until a window after its target is known to have read it, so that it is
/// charged whenever it arrives.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP

#include "core/dispatch/budget_claim.hpp"
#include "core/dispatch/limits.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace knapweedstream::dispatch
{

/// Slots that a budget window is divided into.
constexpr auto window_slots = std::size_t{20};

/// Requests counted in one slot.
struct sent_counts
{
    std::uint32_t first = 0; ///< First requests sent.
    std::uint32_t extra = 0; ///< Extra requests settled.

    auto operator<=>(sent_counts const&) const = default;
};

/// Requests to a service in the last window.
struct extra_budget
{
    /// Extra requests that the target may not have read yet.
    std::uint32_t unsettled = 0;
    std::int64_t newest = 0; ///< Number of the newest slot.
    /// Ring buffer, indexed by slot number. A window lies in one slot more than
    /// it has, and first requests count from one more slot before a span.
    std::array<sent_counts, window_slots + 2> slots{};

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

/// What an instance may use of the budget at present.
struct budget_terms
{
    double ratio = 0; ///< Extra requests per first request.
    /// Extra requests allowed per window even without first requests.
    double share = 0;
    /// What is added to a fraction of a request before it is rounded down.
    double rounding = 0;

    auto operator<=>(budget_terms const&) const = default;
};

/// The terms of an instance. Little may be used of a claim whose window has not
/// passed yet, or which the process before had while targets may still read
/// what that one has sent.
///
/// @param[in] late A target of the service has read what was sent before this
///     process late, or not yet (see `has_read_late`).
/// @param[in] place Evenly distributed among the instances, from 0 to 1: where
///     this one rounds, so that the fractions of all together are used and no
///     more. Without effect if the unused part of the bound does not cover the
///     deviations.
auto terms_of(dispatch_bounds const& bounds, budget_claim const& claim,
    bool late, double place, time_point now) -> budget_terms;

/// Counts the first request of a part.
auto with_first(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget;

/// Charges an extra request that `allows_extra` has permitted.
auto with_extra(extra_budget const& b) -> extra_budget;

/// The target of an extra request has read it, or never will: it is charged for
/// one more window.
auto with_settled(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget;

/// The budget after the length of the window has changed: all extra requests
/// count as settled now, and no first requests count.
auto with_window_changed(extra_budget const& b, dispatch_bounds const& changed,
    time_point now) -> extra_budget;

/// Number of extra requests that the budget has left; may be negative.
auto extra_left(extra_budget const& b, dispatch_bounds const& bounds,
    budget_terms const& terms, time_point now) -> double;

/// True if the budget allows an extra request of this urgency: at least one is
/// left beyond the part that is reserved for more urgent ones.
///
/// @param[in] left Result of `extra_left`.
auto allows_extra(budget_terms const& terms, double left, urgency u) -> bool;

} // namespace knapweedstream::dispatch

#endif
