/// Adaptive limit on the queries that an entry has open for one service.
#ifndef KNAPWEEDSTREAM_CORE_ADMISSION_HPP
#define KNAPWEEDSTREAM_CORE_ADMISSION_HPP

#include <knapweedstream/time.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Additive increase, multiplicative decrease of a concurrency limit.
struct admission
{
    double limit = 64;
    std::uint32_t open = 0;
    time_point last_decrease;

    auto operator<=>(admission const&) const = default;
};

constexpr auto min_admission = 4.0;
constexpr auto admission_decrease = 0.8;
constexpr auto admission_pause = milliseconds{50}; ///< Between decreases.

/// True if one more query may be opened.
inline auto may_open(admission const& a) -> bool
{
    return a.open < a.limit;
}

/// One more query is open.
inline auto with_opened(admission const& a) -> admission
{
    return {a.limit, a.open + 1, a.last_decrease};
}

/// One query less is open.
inline auto with_closed(admission const& a) -> admission
{
    return {a.limit, a.open - (a.open > 0 ? 1 : 0), a.last_decrease};
}

/// A query was answered without overload; the limit grows if it was in use.
inline auto with_room(admission const& a, double most) -> admission
{
    if (a.open * 2 < a.limit)
        return a;
    return {std::min(most, a.limit + 1 / a.limit), a.open, a.last_decrease};
}

/// A query lost shards to full queues.
inline auto with_overload(admission const& a, time_point now) -> admission
{
    if (now - a.last_decrease < admission_pause)
        return a;
    auto const base = std::min<double>(a.limit, a.open + 1.0);
    return {std::max(min_admission, base * admission_decrease), a.open, now};
}

} // namespace knapweedstream

#endif
