#include "core/dispatch/fleet_count.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

auto with_listed(fleet_count const& c, std::size_t listed, duration hold,
    time_point now) -> fleet_count
{
    if (listed >= c.divisor)
        return {listed, time_point::max(), 0};
    if (c.fewer_since == time_point::max())
        return {c.divisor, now, listed};
    auto const most = std::max(c.most_since, listed);
    if (now - c.fewer_since < hold)
        return {c.divisor, c.fewer_since, most};
    return {most, time_point::max(), 0};
}

} // namespace knapweedstream::dispatch
