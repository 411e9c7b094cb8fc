/// The answer to a request: when it is sent, what it contains, and the summary
/// that is logged.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ANSWERS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ANSWERS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Answers the request if its answer is due: all parts have ended, the required
/// coverage can no longer be reached, the deadline has passed, or the objective
/// has passed and the required coverage is reached. Does nothing otherwise, or
/// if the request has ended.
auto answer_if_due(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void;

/// Ends a request without an answer, since its caller hung up.
auto drop_request(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void;

/// Refuses a request that was not admitted.
///
/// @param[in] matched Its route; null if none was found.
auto refuse(dispatch_state& s, caller_request const& e, route const* matched,
    answer_refused const& why, commands& out) -> void;

/// Refusal of a request of which nothing has run. If the targets of a part all
/// pause, it says so, with the time until the first of them takes requests
/// again.
auto refusal_of(dispatch_state& s, request_entry const& e, refusal_reason why,
    time_point now) -> answer_refused;

/// Time after which a caller refused for this reason should retry; 0 if the
/// reason does not go away by itself. It is randomized so that callers that
/// were refused together do not retry together.
auto retry_delay(dispatch_state& s, refusal_reason why) -> duration;

/// The reason's name in the log.
auto name_of(refusal_reason it) -> char const*;
/// The reason's name in the log.
auto name_of(failure_reason it) -> char const*;

} // namespace knapweedstream::dispatch

#endif
