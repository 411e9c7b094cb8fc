/// The graceful stop: not ready at once, callers' connections go after a while,
/// the exit when nothing has been asked for some time. Also readiness.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_STOP_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_STOP_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Tells whether the instance takes callers, if that has changed.
auto update_ready(dispatch_state& s, commands& out) -> void;

/// The process leaves then at the latest; no limit if no stop was asked for.
auto exit_deadline(dispatch_state const& s) -> time_point;

/// True if a request that comes in now could not be answered before the exit.
auto is_closing(dispatch_state const& s, time_point now) -> bool;

auto on_stop(dispatch_state& s, time_point now, commands& out) -> void;
auto on_stop_due(dispatch_state& s, time_point now, commands& out) -> void;

/// Leaves once no caller has asked for anything for a while. To be called
/// when all that is due has been handled, so that no request is cut.
auto exit_if_idle(dispatch_state& s, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
