/// Handles results from the store and decides when it is called again: lists,
/// watches, checks of watches, outages, this instance's record.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_STORE_EVENTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_STORE_EVENTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Starts to follow all kinds of objects.
auto start_following(dispatch_state& s, time_point now, commands& out) -> void;

/// Ends the low priority of the watches of targets, since a caller has sent a
/// request.
auto prioritize_targets(dispatch_state& s, time_point now, commands& out)
    -> void;

/// Handles a page of a list; applies the list when it is complete.
auto on_listed(dispatch_state& s, store_listed e, time_point now, commands& out)
    -> void;
/// Applies the changes that a watch returned.
auto on_changed(
    dispatch_state& s, store_changed e, time_point now, commands& out) -> void;
/// Handles the result of a check; applies changes that the watch has missed.
auto on_checked(
    dispatch_state& s, store_checked e, time_point now, commands& out) -> void;
/// Lists a kind again, since the store no longer has the changes to watch.
auto on_compacted(dispatch_state& s, store_compacted e, time_point now,
    commands& out) -> void;
/// Schedules another call after a failed list or watch.
auto on_store_failed(
    dispatch_state& s, store_failed e, time_point now, commands& out) -> void;
/// Handles the result of a write.
auto on_written(
    dispatch_state& s, store_written e, time_point now, commands& out) -> void;
/// Makes the next list or watch call of a kind when its pause is over.
auto on_follow_due(dispatch_state& s, follow_due const& e, time_point now,
    commands& out) -> void;
/// Periodic check of the waiting watches.
auto on_check_due(dispatch_state& s, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
