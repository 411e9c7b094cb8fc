/// What an attempt or an answer teaches an owner of its target.
#ifndef KNAPWEEDSTREAM_CORE_TARGET_HEALTH_HPP
#define KNAPWEEDSTREAM_CORE_TARGET_HEALTH_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Learns from what the target says of itself.
auto apply_report(node_state& s, target_entry& t, target_report const& report,
    commands& out) -> void;

/// Counts a failure; several in a row eject the target.
auto record_failure(
    node_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Counts an answer in time; the target may become warm.
auto record_success(node_state& s, target_entry& t, attempt const& a,
    time_point now, commands& out) -> void;

/// Counts an overload answer; the target may become cold.
auto record_shed(node_state& s, target_entry& t, time_point now) -> void;

/// True if the attempt carries a booking.
auto is_booking(attempt const& a) -> bool;

} // namespace knapweedstream

#endif
