/// Bookings at their entry instance, the one that the caller reached: choice of
/// the executor (the owner that runs the booking) and answer to the caller.
#ifndef KNAPWEEDSTREAM_CORE_BOOKING_ENTRY_HPP
#define KNAPWEEDSTREAM_CORE_BOOKING_ENTRY_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Handles a booking of a caller.
auto on_caller_booking(node_state& s, caller_booking const& e, time_point now,
    commands& out) -> void;
/// Handles the answer of an executor.
auto on_booking_result(node_state& s, booking_result const& m, commands& out)
    -> void;

/// Checks whether the booking's executor is alive, and forwards the booking to
/// another owner if it is not; answers "unknown" at the deadline.
auto on_booking_check_due(node_state& s, booking_check_due const& e,
    time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
