/// The search for a target of a part: who is eligible, who is best, and
/// whether somebody will be soon.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_SEARCH_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_SEARCH_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// True if the route may be served in the target's region.
auto is_allowed(target_entry const& t, route const& r) -> bool;

/// Latencies of a route at a distance; empty if none are known.
auto estimate_for(dispatch_state const& s, route const& r, proximity p)
    -> latency_estimate;

/// Chooses the target that is expected to answer a part first.
///
/// @param[in] alone No attempt of the part is out: a target that was tried may
///     be asked again.
/// @returns The target, or null.
auto choose_target(dispatch_state& s, part const& p, open_request const& r,
    bool alone, time_point now) -> target_entry*;

/// True if the target is warm, or bears one more request from this instance.
auto warmup_allows(dispatch_state& s, target_entry& t, time_point now) -> bool;

/// True if the target's version may get the part.
auto is_version_allowed(
    dispatch_state const& s, part const& p, target_entry const& t) -> bool;

/// True if a target that was not asked for the part yet has room for it.
auto has_untried(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool;

/// Time that a new part is expected to wait until a target has room for it.
///
/// @returns The greatest possible value if none is about to have any.
auto expected_wait(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> duration;

/// True if a target can be used for the part now, whatever its room.
auto has_target(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool;

/// True if a target of the service that turned connections away is to be
/// tried again soon.
auto has_returning_target(dispatch_state const& s, service_id service,
    route const& r, time_point now) -> bool;

/// True if a connection to a target of the service is being opened, or will
/// be soon.
auto is_connecting(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
