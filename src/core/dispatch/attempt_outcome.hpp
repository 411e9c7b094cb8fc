/// What a reply or a lost connection means for an attempt.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ATTEMPT_OUTCOME_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ATTEMPT_OUTCOME_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Outcome of an attempt.
struct attempt_outcome
{
    attempt_end how = attempt_end::success;
    bool ran = true;          ///< The target may have run the request.
    std::uint32_t status = 0; ///< HTTP status of the reply; 0 if none.
};

/// Outcome of an attempt that got a reply.
auto outcome_of_reply(target_reply const& r) -> attempt_outcome;

/// Outcome of an attempt whose connection was lost. Once any part of the
/// request was written, the target may have run it, however soon the connection
/// was reset.
auto outcome_of_loss(dispatch_state const& s, link const& l,
    connection_closed const& e, time_point now) -> attempt_outcome;

} // namespace knapweedstream::dispatch

#endif
