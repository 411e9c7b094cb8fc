/// Budget of extra requests to a service: this instance's part of what all
/// instances together may send beyond the first request for each part.
///
/// The stated ratio of extra to first requests holds for each instance, and so
/// for their sum. The stated number beyond it is divided by the number of
/// instances; an instance that has just started saves its part up slowly,
/// since the process before it may have spent it in the same window.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_EXTRA_BUDGET_HPP

#include "core/dispatch/limits.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace knapweedstream::dispatch
{

/// Extra requests that may be sent now.
struct extra_budget
{
    double tokens = 0;
    double share = 1; ///< Saved up at most without first requests.

    auto operator<=>(extra_budget const&) const = default;
};

/// Part of the stated number that one of `instances` may save up.
inline auto budget_share(dispatch_bounds const& bounds, std::size_t instances)
    -> double
{
    constexpr auto used_part = 0.9; ///< The rest covers differing views.
    auto const n = static_cast<double>(std::max<std::size_t>(1, instances));
    return used_part * bounds.retry_budget_extra / n;
}

/// Greatest number of tokens kept: a whole one may always be earned.
inline auto most_tokens(extra_budget const& b) -> double
{
    return std::max(1.0, b.share);
}

/// The share changed, as instances came or went.
inline auto with_share(extra_budget const& b, double share) -> extra_budget
{
    auto next = extra_budget{b.tokens, share};
    next.tokens = std::min(next.tokens, most_tokens(next));
    return next;
}

/// Saves up a part of the share, from 0 to 1.
inline auto with_saved(extra_budget const& b, double part) -> extra_budget
{
    auto const more = b.tokens + part * b.share;
    return {std::max(b.tokens, std::min(more, b.share)), b.share};
}

/// Earns for the first request of a part.
inline auto with_first(extra_budget const& b, dispatch_bounds const& bounds)
    -> extra_budget
{
    return {std::min(most_tokens(b), b.tokens + bounds.retry_budget_ratio),
        b.share};
}

/// Pays for an extra request; `can_pay` must hold.
inline auto with_extra(extra_budget const& b) -> extra_budget
{
    return {b.tokens - 1, b.share};
}

/// True if an extra request can be paid.
///
/// @param[in] spare Keep something for failures: the request may be left out.
inline auto can_pay(extra_budget const& b, bool spare) -> bool
{
    constexpr auto kept_part = 0.25;
    constexpr auto small_share = 4.0; ///< Too small for parts to be kept.
    auto const kept =
        spare ? kept_part * std::max(0.0, b.share - small_share) : 0.0;
    return b.tokens >= 1 + kept;
}

} // namespace knapweedstream::dispatch

#endif
