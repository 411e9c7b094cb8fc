/// Adaptive concurrency limit: additive increase, multiplicative decrease.
#ifndef KNAPWEEDSTREAM_CORE_ADAPTIVE_LIMIT_HPP
#define KNAPWEEDSTREAM_CORE_ADAPTIVE_LIMIT_HPP

#include <knapweedstream/time.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Limit on the number of requests open at once.
struct adaptive_limit
{
    double limit = 64;
    std::uint32_t open = 0;
    time_point last_decrease;

    auto operator<=>(adaptive_limit const&) const = default;
};

constexpr auto overload_limit_factor = 0.8; ///< Applied at each decrease.
constexpr auto min_decrease_interval = milliseconds{50};

/// True if one more request may be opened.
inline auto may_open(adaptive_limit const& a) -> bool
{
    return a.open < a.limit;
}

/// Returns the limit with `open` requests open.
inline auto with_open(adaptive_limit const& a, std::uint32_t open)
    -> adaptive_limit
{
    return {a.limit, open, a.last_decrease};
}

/// Returns the limit with one more request open.
inline auto with_opened(adaptive_limit const& a) -> adaptive_limit
{
    return with_open(a, a.open + 1);
}

/// Returns the limit with one request fewer open.
inline auto with_closed(adaptive_limit const& a) -> adaptive_limit
{
    return with_open(a, a.open - (a.open > 0 ? 1 : 0));
}

/// Returns the limit after a request completed without overload. It grows, up
/// to `max_limit`, if at least half of it is in use.
inline auto with_completed(adaptive_limit const& a, double max_limit)
    -> adaptive_limit
{
    if (a.open * 2 < a.limit)
        return a;
    return {
        std::min(max_limit, a.limit + 1 / a.limit), a.open, a.last_decrease};
}

/// Returns the limit after a request ended in overload. It falls, but not below
/// `min_limit` and not again within `min_decrease_interval`.
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
