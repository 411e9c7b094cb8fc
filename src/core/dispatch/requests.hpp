/// Callers' requests from admission to the answer: hedges, retries, queue
/// limits and deadlines.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_REQUESTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_REQUESTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Handles a caller's request: refuses it, or sends or queues its parts.
auto on_caller_request(dispatch_state& s, caller_request const& e,
    time_point now, commands& out) -> void;

/// Handles a caller that hung up: ends its request without an answer.
auto on_caller_gone(dispatch_state& s, caller_gone const& e, time_point now,
    commands& out) -> void;

/// Handles a request's timer: a hedge, a retry, the queue limit, the objective
/// or the deadline may be due.
auto on_request_due(dispatch_state& s, request_due const& e, time_point now,
    commands& out) -> void;

/// Makes sure that the request's timer fires at `when` or earlier.
auto arm_request_timer(dispatch_state& s, request_key key, time_point when)
    -> void;

} // namespace knapweedstream::dispatch

#endif
