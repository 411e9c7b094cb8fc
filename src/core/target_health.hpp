/// Updates a target's health from its reports and the outcomes of attempts.
#ifndef KNAPWEEDSTREAM_CORE_TARGET_HEALTH_HPP
#define KNAPWEEDSTREAM_CORE_TARGET_HEALTH_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Applies a target's report. Tells co-owners if the target has restarted, and
/// refreshes the shard's view if it changed what it serves.
auto apply_report(node_state& s, target_entry& t, target_report const& report,
    commands& out) -> void;

/// Counts a failure; several in a row eject the target, unless it is the only
/// replica available.
auto record_failure(
    node_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Counts a successful answer and its latency; the target may become warm.
auto record_success(node_state& s, target_entry& t, attempt const& a,
    time_point now, commands& out) -> void;

/// Counts an overload answer; several in a row make the target cold.
auto record_shed(node_state& s, target_entry& t, time_point now) -> void;

/// True if the attempt carries a booking.
auto is_booking(attempt const& a) -> bool;

} // namespace knapweedstream

#endif
