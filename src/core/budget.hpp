/// Budget that limits hedges and retries to a share of the primary requests.
#ifndef KNAPWEEDSTREAM_CORE_BUDGET_HPP
#define KNAPWEEDSTREAM_CORE_BUDGET_HPP

#include <algorithm>
#include <compare>
#include <optional>

namespace knapweedstream
{

/// Token bucket to which each primary request adds.
struct retry_budget
{
    double tokens = 0;
    double ratio = 0.05; ///< Tokens added per primary request.
    double burst = 50;   ///< Most tokens kept.

    auto operator<=>(retry_budget const&) const = default;
};

/// Returns the budget with the tokens of one primary request added.
inline auto deposit(retry_budget const& b) -> retry_budget
{
    return {std::min(b.burst, b.tokens + b.ratio), b.ratio, b.burst};
}

/// Takes one token for a hedge or a retry.
///
/// @returns The remaining budget; nothing if there is less than one token.
inline auto withdraw(retry_budget const& b) -> std::optional<retry_budget>
{
    if (b.tokens < 1)
        return std::nullopt;
    return retry_budget{b.tokens - 1, b.ratio, b.burst};
}

} // namespace knapweedstream

#endif
