/// Turns of an event loop: a turn runs the callbacks of all events that one
/// wait has found. Input that arrives while a turn runs is read in a later one;
/// these times bound how long it has been pending.
#ifndef KNAPWEEDSTREAM_ADAPTER_LOOP_TURNS_HPP
#define KNAPWEEDSTREAM_ADAPTER_LOOP_TURNS_HPP

#include <knapweedstream/time.hpp>

#include <compare>

namespace knapweedstream
{

/// Times of the present turn and of the one before it.
struct turn_times
{
    time_point previous; ///< Begin of the turn before.
    time_point ended;    ///< End of the turn before.
    time_point begun;    ///< Begin of the present turn.

    auto operator<=>(turn_times const&) const = default;
};

/// The times once the next turn has begun.
auto with_turn(turn_times const& t, time_point ended, time_point begun)
    -> turn_times;

/// Earliest time at which input can have arrived that the present turn has
/// found: it came after the wait before. If the loop had to wait for it, it
/// came when the turn began.
auto earliest_arrival(turn_times const& t) -> time_point;

} // namespace knapweedstream

#endif
