/// Applies the store's objects to the dispatcher's state: configuration,
/// targets, evacuated zones, rollout orders, instances. A change older than the
/// newest known version of its object is ignored.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CATALOG_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CATALOG_HPP

#include "core/dispatch/tables.hpp"

#include <span>

namespace knapweedstream::dispatch
{

/// Applies a complete list: objects that it lacks were deleted, unless they are
/// known from a later revision.
///
/// @param[in] version That the whole list has reached.
auto apply_list(dispatch_state& s, store_kind kind,
    std::span<stored_object const> objects, store_version version,
    time_point now, commands& out) -> void;

/// Applies changes that a watch or a check returned.
///
/// @param[in] era Of the store that has returned them.
auto apply_changes(dispatch_state& s, store_kind kind,
    std::span<stored_change const> changes, std::uint64_t era, time_point now,
    commands& out) -> void;

/// Handles a target's timer: it may be connected to again, or the grace period
/// of its vanished registration has ended.
auto on_target_due(dispatch_state& s, target_due const& e, time_point now,
    commands& out) -> void;

/// True if the instance has a configuration and a list of targets, and so can
/// serve callers.
auto has_initial_data(dispatch_state const& s) -> bool;

} // namespace knapweedstream::dispatch

#endif
