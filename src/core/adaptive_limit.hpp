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

constexpr auto limit_decrease = 0.8;
constexpr auto decrease_pause = milliseconds{50}; ///< Between decreases.

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
inline auto with_room(adaptive_limit const& a, double most) -> adaptive_limit
{
    if (a.open * 2 < a.limit)
        return a;
    return {std::min(most, a.limit + 1 / a.limit), a.open, a.last_decrease};
}

/// One ended in overload; the limit falls, but not below `least`.
inline auto with_overload(adaptive_limit const& a, double least, time_point now)
    -> adaptive_limit
{
    if (now - a.last_decrease < decrease_pause)
        return a;
    auto const base = std::min<double>(a.limit, a.open + 1.0);
    return {std::max(least, base * limit_decrease), a.open, now};
}

} // namespace knapweedstream

#endif
