/// Connections to targets: how many, when opened, when closed.
///
/// A target accepts a limited number of connections from all instances
/// together; each instance keeps its share (see `sharing.hpp`). One that needs
/// another connection borrows it: it closes it as soon as it has rested.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_POOL_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_POOL_HPP

#include "core/dispatch/tables.hpp"

#include <cstdint>

namespace knapweedstream::dispatch
{

/// True if new requests may go to the target at all.
auto is_usable(target_entry const& t, time_point now) -> bool;

/// True if it has a connection, or one may be tried now.
auto is_reachable(target_entry const& t, time_point now) -> bool;

/// True if it was connected to in vain a few times only, and will be tried
/// again soon.
auto is_reconnecting(
    dispatch_state const& s, target_entry const& t, time_point now) -> bool;

/// True if another connection may be opened now.
auto may_open(dispatch_state& s, target_entry& t, time_point now) -> bool;

/// Opens a connection.
auto open_link(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Opens a connection ahead of need if the target is one of those that have
/// one, and has none to spare.
auto preconnect(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Likewise for all targets.
auto preconnect_all(dispatch_state& s, time_point now, commands& out) -> void;

/// Closes a connection and removes it from the tables.
auto close_link(dispatch_state& s, connection_id id, commands& out) -> void;

/// Closes all idle connections of a target.
auto close_idle(dispatch_state& s, target_entry& t, commands& out) -> void;

/// Takes an idle connection for a request; the one used last first.
///
/// @param[in] fresh Only one that the target can hardly have closed; first
///     those that have carried a reply.
/// @returns The connection, or 0.
auto take_idle(dispatch_state& s, target_entry& t, bool fresh, time_point now)
    -> connection_id;

/// Opens a connection for a request that found none; in place of an idle one
/// if this instance may hold no more.
auto open_for_request(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Gives a connection back after a reply.
auto release_link(dispatch_state& s, link const& l, duration idle_limit,
    time_point now) -> void;

/// Removes a connection from the tables.
auto remove_link(dispatch_state& s, link const& l) -> void;

/// A connection stands.
auto on_opened(dispatch_state& s, connection_opened const& e, time_point now,
    commands& out) -> void;

/// True if an idle connection was broken as soon as it stood: the target had
/// more than it accepts.
auto was_turned_away(dispatch_state const& s, link const& l, connection_end how,
    time_point now) -> bool;

/// The target could not be connected to: waits longer each time in a row.
auto back_off(dispatch_state& s, target_entry& t, time_point now) -> void;

/// A connection could not be opened.
auto on_open_failed(
    dispatch_state& s, link const& l, time_point now, commands& out) -> void;

/// A connection has been opening, or idle, for too long.
auto on_link_due(dispatch_state& s, link_due const& e, time_point now,
    commands& out) -> void;

/// Tells the log if the view of a target has changed.
auto report_view(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
