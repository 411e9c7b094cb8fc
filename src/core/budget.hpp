/// Budget that bounds hedges and retries to a share of primary requests.
#ifndef KNAPWEEDSTREAM_CORE_BUDGET_HPP
#define KNAPWEEDSTREAM_CORE_BUDGET_HPP

#include <algorithm>
#include <compare>
#include <optional>

namespace knapweedstream
{

/// Token bucket filled by primary requests.
struct retry_budget
{
    double tokens = 0;
    double ratio = 0.05; ///< Tokens earned per primary request.
    double burst = 50;   ///< Tokens kept at most.

    auto operator<=>(retry_budget const&) const = default;
};

/// Earns a share of a token for one primary request.
inline auto deposit(retry_budget const& b) -> retry_budget
{
    return {std::min(b.burst, b.tokens + b.ratio), b.ratio, b.burst};
}

/// Pays for one extra request.
///
/// @returns The budget that remains; nothing if it cannot be paid.
inline auto withdraw(retry_budget const& b) -> std::optional<retry_budget>
{
    if (b.tokens < 1)
        return std::nullopt;
    return retry_budget{b.tokens - 1, b.ratio, b.burst};
}

} // namespace knapweedstream

#endif
