#include "adapter/loop_turns.hpp"

namespace knapweedstream
{

namespace
{

/// A shorter wait may have found input that was there before.
constexpr auto shortest_wait = milliseconds{1};

} // namespace

auto with_turn(turn_times const& t, time_point ended, time_point begun)
    -> turn_times
{
    return {t.begun, ended, begun};
}

auto earliest_arrival(turn_times const& t) -> time_point
{
    auto const waited = t.begun - t.ended >= duration{shortest_wait};
    return waited ? t.begun : t.previous;
}

} // namespace knapweedstream
