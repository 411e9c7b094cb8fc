/// Applies the registrations of targets to the table of targets.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_REGISTRATIONS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_REGISTRATIONS_HPP

#include "core/dispatch/tables.hpp"

#include <cstdint>

namespace knapweedstream::dispatch
{

/// Adds a target or updates it. One that has started again under its name
/// replaces the one before.
auto apply_target(dispatch_state& s, target_registration const& r,
    store_version version, time_point now, commands& out) -> void;

/// Removes a target whose registration vanished; shortly after a store outage
/// only when the grace period since the store's return has ended, as the
/// registration may come back until then.
auto deregister_target(
    dispatch_state& s, target_id id, time_point now, commands& out) -> void;

/// Removes a target at once. Its notices are kept for a while.
auto remove_target(
    dispatch_state& s, target_id id, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
