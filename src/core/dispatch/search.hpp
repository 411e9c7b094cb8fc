/// Search for a target for a part: which targets are eligible, which one is
/// expected to answer first, and whether one will become available soon.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_SEARCH_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_SEARCH_HPP

#include "core/dispatch/tables.hpp"

#include <optional>

namespace knapweedstream::dispatch
{

/// True if the route may be served in the target's region.
auto is_allowed(target_entry const& t, route const& r) -> bool;

/// Latency estimate of a route for targets at a proximity; an estimate without
/// samples if no such request has succeeded yet.
auto estimate_for(dispatch_state const& s, route const& r, proximity p)
    -> latency_estimate;

/// Chooses the target that is expected to answer a part first.
///
/// @param[in] none_running True if no attempt of the part is in flight; then a
///     target that was already tried is admitted if there is no other.
/// @returns The target, or null if none is eligible.
auto choose_target(dispatch_state& s, part const& p, open_request const& r,
    bool none_running, time_point now) -> target_entry*;

/// When a target that is at its stated limit may be sent the next request.
struct limit_wait
{
    target_id target;
    time_point at;
};

/// When the first of the targets that a part could go to ends its pause; empty
/// if none of them pauses, or another one takes requests.
auto end_of_pause(dispatch_state& s, part const& p, route const& r,
    time_point now) -> std::optional<time_point>;

/// When the first of the targets that a part could go to ends its pause; empty
/// if none of them pauses, or another one takes requests.
auto end_of_pause(dispatch_state& s, part const& p, route const& r,
    time_point now) -> std::optional<time_point>;

/// The first target that a part may be sent to once its stated limit allows it;
/// empty if no target is held back by its limit alone.
auto next_allowance(dispatch_state& s, part const& p, route const& r,
    time_point now) -> std::optional<limit_wait>;

/// True if the part may go to the target's version, also considering a rollout
/// in progress.
auto is_version_allowed(dispatch_state const& s, part const& p,
    target_entry const& t, time_point now) -> bool;

/// True if an eligible target that was not tried for the part has capacity.
auto has_untried(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool;

/// Expected time that a new part waits in its service's queue.
///
/// @returns 0 if nothing is queued and a target has capacity; the greatest
///     possible value if no target has capacity.
auto expected_wait(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> duration;

/// True if a target can be used for the part now, even one at its concurrency
/// limit.
auto has_target(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool;

/// True if a target of the service could not be connected to and will be tried
/// again soon.
auto has_reconnecting_target(dispatch_state const& s, service_id service,
    route const& r, time_point now) -> bool;

/// True if a connection to a target of the service is being opened, or will be
/// soon.
auto is_connecting(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
