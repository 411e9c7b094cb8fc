/// Placing: which target gets a part of a request, and which parts wait.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_PLACING_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_PLACING_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// What became of an attempt to place a part.
enum class place_result : std::uint8_t
{
    sent,     ///< On an idle connection.
    queued,   ///< Until a connection is free.
    unplaced, ///< No target can be used.
};

/// Sends a part to the best target, or queues it.
auto place(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> place_result;

/// Sends the queued parts of a service for which a connection is free; parts
/// that no target can take any more fail.
auto serve_queue(dispatch_state& s, service_id service, time_point now,
    commands& out) -> void;

/// True if the service's budget pays for an extra request for a part.
auto within_budget(dispatch_state const& s, request_entry const& e,
    part const& p, attempt_kind kind, time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
