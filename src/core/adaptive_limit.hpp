/// Adaptive concurrency limit: additive increase, multiplicative decrease.
#ifndef KNAPWEEDSTREAM_CORE_ADAPTIVE_LIMIT_HPP
#define KNAPWEEDSTREAM_CORE_ADAPTIVE_LIMIT_HPP

#include <knapweedstream/time.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Limit on what is open at once.
struct adaptive_limit
{
    double limit = 64;
    std::uint32_t open = 0;
    time_point last_decrease;

    auto operator<=>(adaptive_limit const&) const = default;
};

constexpr auto overload_limit_factor = 0.8;
constexpr auto min_decrease_interval = milliseconds{50}; ///< Between decreases.

/// True if one more may be opened.
inline auto may_open(adaptive_limit const& a) -> bool
{
    return a.open < a.limit;
}

/// So many are open.
inline auto with_open(adaptive_limit const& a, std::uint32_t open)
    -> adaptive_limit
{
    return {a.limit, open, a.last_decrease};
}

/// One more is open.
inline auto with_opened(adaptive_limit const& a) -> adaptive_limit
{
    return with_open(a, a.open + 1);
}

/// One less is open.
inline auto with_closed(adaptive_limit const& a) -> adaptive_limit
{
    return with_open(a, a.open - (a.open > 0 ? 1 : 0));
}

/// One ended without overload; the limit grows if it was in use.
inline auto with_completed(adaptive_limit const& a, double max_limit)
    -> adaptive_limit
{
    if (a.open * 2 < a.limit)
        return a;
    return {
        std::min(max_limit, a.limit + 1 / a.limit), a.open, a.last_decrease};
}

/// One ended in overload; the limit falls, but not below `min_limit`.
inline auto with_overload(
    adaptive_limit const& a, double min_limit, time_point now) -> adaptive_limit
{
    if (now - a.last_decrease < min_decrease_interval)
        return a;
    auto const base = std::min<double>(a.limit, a.open + 1.0);
    return {std::max(min_limit, base * overload_limit_factor), a.open, now};
}

} // namespace knapweedstream

#endif
