/// Placing parts of requests: sends a part to a target or queues it for a
/// connection, within the retry budget.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_PLACING_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_PLACING_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Result of placing a part.
enum class place_result : std::uint8_t
{
    sent,     ///< Sent on an idle connection.
    queued,   ///< Queued for a connection.
    unplaced, ///< No target can be used.
};

/// Sends a part to the target that is expected to answer first, or queues it if
/// that target has no idle connection. A part without a running attempt is also
/// queued if no target can be used but one is about to be connected to again.
/// Along with a first attempt, a copy of the part may be sent to a suspended
/// target as a probe.
auto place(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> place_result;

/// Places the queued parts of a service again, in order of route priority.
/// Parts that find no idle connection stay queued; those that no target can
/// take fail, unless an attempt is running. An extra attempt beyond the retry
/// budget is dropped, or retried later if no other attempt of the part is
/// running.
auto serve_queue(dispatch_state& s, service_id service, time_point now,
    commands& out) -> void;

/// True if an attempt of this kind is within the retry budget of the part's
/// service; a first attempt always is.
auto within_budget(dispatch_state const& s, request_entry const& e,
    part const& p, attempt_kind kind, time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
