/// What the store says: configuration, targets, evacuated zones, instances.
/// Takes it into the tables; nothing ever goes back to an older state.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CATALOG_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CATALOG_HPP

#include "core/dispatch/tables.hpp"

#include <span>

namespace knapweedstream::dispatch
{

/// Takes a whole list in: what is not in it is gone.
auto apply_list(dispatch_state& s, store_kind kind,
    std::span<stored_object const> objects, time_point now, commands& out)
    -> void;

/// Takes changes in.
auto apply_changes(dispatch_state& s, store_kind kind,
    std::span<stored_change const> changes, time_point now, commands& out)
    -> void;

/// A target may be connected to again, or its registration has lapsed.
auto on_target_due(dispatch_state& s, target_due const& e, time_point now,
    commands& out) -> void;

/// True if the instance knows enough to serve callers.
auto has_initial_data(dispatch_state const& s) -> bool;

} // namespace knapweedstream::dispatch

#endif
