/// The entry's side of a booking: finds an executor and answers the caller.
#ifndef KNAPWEEDSTREAM_CORE_BOOKING_ENTRY_HPP
#define KNAPWEEDSTREAM_CORE_BOOKING_ENTRY_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// A caller sent a booking.
auto on_caller_booking(node_state& s, caller_booking const& e, time_point now,
    commands& out) -> void;
/// The executor answered.
auto on_booking_result(node_state& s, booking_result const& m, commands& out)
    -> void;

/// Looks whether the executor is there; answers "unknown" at the deadline.
auto on_booking_check_due(node_state& s, booking_check_due const& e,
    time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
