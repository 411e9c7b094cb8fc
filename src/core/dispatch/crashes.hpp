/// Applies the recognition of requests that crash targets to the dispatcher's
/// events: lost connections, targets that ended, replies and new requests.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CRASHES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CRASHES_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Notes that an attempt was lost with its connection. Content that a target
/// has answered lately is not suspected.
auto note_lost(dispatch_state& s, attempt const& a, target_entry const& t,
    time_point now) -> void;

/// Notes that a target has ended: nothing listens at its address, or its
/// registration shows another start or has gone.
auto note_ended(dispatch_state& s, target_entry const& t, time_point now,
    commands& out) -> void;

/// If a target may have ended under a lost request and no connection to it is
/// left, opens one, which shows whether it still listens.
auto check_if_ended(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Notes that a target has answered the first part of a request.
auto note_answered(dispatch_state& s, request_entry const& e, time_point now)
    -> void;

/// True if the request is to be refused, as its content has crashed targets.
auto is_deadly(dispatch_state& s, routed_request const& r, time_point now)
    -> bool;

} // namespace knapweedstream::dispatch

#endif
