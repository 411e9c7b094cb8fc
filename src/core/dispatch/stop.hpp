/// Readiness and the graceful stop: the instance becomes not ready at once,
/// closes the callers' connections after a delay, and exits when no request has
/// come for some time.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_STOP_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_STOP_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Reports whether the instance accepts callers, if that has changed.
auto update_ready(dispatch_state& s, commands& out) -> void;

/// Latest time of the process's exit; `time_point::max()` if no stop was
/// requested.
auto exit_deadline(dispatch_state const& s) -> time_point;

/// True if new requests are refused, since they might not be answered before
/// the exit.
auto is_closing(dispatch_state const& s, time_point now) -> bool;

/// Starts the graceful stop: not ready, record removed from the store.
auto on_stop(dispatch_state& s, time_point now, commands& out) -> void;
/// Periodic check during the stop; closes the callers' connections when due.
auto on_stop_due(dispatch_state& s, time_point now, commands& out) -> void;

/// Exits once no request is open and none has come for some time, or at
/// `exit_deadline`. Must be called after all due events and timers have been
/// handled, so that no request is cut off.
auto exit_if_idle(dispatch_state& s, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
