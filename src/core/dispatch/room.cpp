#include "core/dispatch/room.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto late_objective_share = 0.4;
constexpr auto late_usual_factor = 2.5;
constexpr auto least_room = 1.0; ///< Requests.
constexpr auto most_room = 64.0; ///< Requests.

} // namespace

auto late_after(latency_estimate const& usual, duration objective) -> duration
{
    return std::max(scaled(objective, late_objective_share),
        scaled(typical(usual, duration{0}), late_usual_factor));
}

auto with_sample(adaptive_limit const& room, room_sample const& r,
    time_point now) -> adaptive_limit
{
    auto const used = with_open(room, r.in_flight);
    if (r.refused || r.took > r.late_after)
        return with_overload(used, least_room, now);
    return r.good ? with_completed(used, most_room) : used;
}

auto has_room(adaptive_limit const& room, std::uint32_t in_flight) -> bool
{
    return may_open(with_open(room, in_flight));
}

} // namespace knapweedstream::dispatch
