/// Callers' requests from start to answer: parts, hedges, retries, deadlines.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_REQUESTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_REQUESTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// A caller's request came in.
auto on_caller_request(dispatch_state& s, caller_request const& e,
    time_point now, commands& out) -> void;

/// A caller hung up: nothing more is done for it.
auto on_caller_gone(dispatch_state& s, caller_gone const& e, time_point now,
    commands& out) -> void;

/// A hedge, the queue limit, the objective or the deadline may be due.
auto on_request_due(dispatch_state& s, request_due const& e, time_point now,
    commands& out) -> void;

/// Looks at a request again at a time.
auto arm_request_timer(dispatch_state& s, request_key key, time_point when)
    -> void;

} // namespace knapweedstream::dispatch

#endif
