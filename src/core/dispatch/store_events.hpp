/// What the store tells, and when it is asked again: lists, watches, checks of
/// watches, outages, this instance's record.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_STORE_EVENTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_STORE_EVENTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Begins to follow all kinds.
auto start_following(dispatch_state& s, time_point now, commands& out) -> void;

/// A caller asks: news of targets no longer waits to be collected for long.
auto prioritize_targets(dispatch_state& s, time_point now, commands& out)
    -> void;

auto on_listed(dispatch_state& s, store_listed const& e, time_point now,
    commands& out) -> void;
auto on_changed(dispatch_state& s, store_changed const& e, time_point now,
    commands& out) -> void;
auto on_checked(dispatch_state& s, store_checked const& e, time_point now,
    commands& out) -> void;
auto on_compacted(dispatch_state& s, store_compacted const& e, time_point now,
    commands& out) -> void;
auto on_store_failed(dispatch_state& s, store_failed const& e, time_point now,
    commands& out) -> void;
auto on_written(dispatch_state& s, store_written const& e, commands& out)
    -> void;
auto on_follow_due(dispatch_state& s, follow_due const& e, time_point now,
    commands& out) -> void;
auto on_check_due(dispatch_state& s, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
