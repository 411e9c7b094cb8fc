/// The answer to a request: when it is due, what it holds, what is logged.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ANSWERS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ANSWERS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Answers the request if nothing better is to be expected in time.
auto answer_if_due(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void;

/// Ends a request without an answer, since its caller is gone.
auto drop_request(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void;

/// Refuses a request that was never opened.
auto refuse(dispatch_state& s, caller_request const& e, route const* matched,
    answer_refused const& why, commands& out) -> void;

/// When a refused caller should come back; spread, so that those who were
/// refused together do not return together.
auto retry_delay(dispatch_state& s, refusal_reason why) -> duration;

/// Words for the log.
auto name_of(refusal_reason it) -> char const*;
/// Words for the log.
auto name_of(failure_reason it) -> char const*;

} // namespace knapweedstream::dispatch

#endif
