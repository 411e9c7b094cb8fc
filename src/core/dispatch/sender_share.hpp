/// What this instance may send to targets that take little: cold ones, and
/// those that have stated a limit. The instances share that.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_SENDER_SHARE_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_SENDER_SHARE_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Position of this instance among those that may send to a target: instances
/// in the target's region come first.
auto rank_for_target(dispatch_state const& s, target_entry const& t)
    -> sender_rank;

/// Requests per second that this instance may send to a target; the greatest
/// possible value if it has stated no limit.
auto share_of_limit(dispatch_state const& s, target_entry const& t) -> double;

/// True if the target is warm, or this instance may send it one more request
/// during its warm-up.
auto warmup_allows(dispatch_state& s, target_entry& t, time_point now) -> bool;

/// True if what the target has said of itself allows one more request of this
/// instance now: it neither leaves nor pauses and is not at its stated limit.
auto notices_allow(dispatch_state& s, target_entry& t, time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
