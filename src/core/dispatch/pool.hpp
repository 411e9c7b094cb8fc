/// Pool of connections to targets: when they are opened, reused and closed.
///
/// A target accepts a limited number of connections from all instances
/// together; each instance keeps to its share (see `sharing.hpp`). An instance
/// may borrow a connection beyond its share; a borrowed connection is closed
/// soon after it becomes idle.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_POOL_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_POOL_HPP

#include "core/dispatch/tables.hpp"

#include <cstdint>

namespace knapweedstream::dispatch
{

/// True if the target may get new requests: it is registered, it is not
/// draining, its availability zone is not evacuated, and no other target
/// answered at its address.
auto is_usable(target_entry const& t, time_point now) -> bool;

/// True if the target has an open connection, or no delay after a failed
/// opening is running.
auto is_reachable(target_entry const& t, time_point now) -> bool;

/// True if the target has no connections and waits to be connected to again,
/// after fewer failures in a row than make it count as down.
auto is_reconnecting(
    dispatch_state const& s, target_entry const& t, time_point now) -> bool;

/// True if another connection to the target may be opened now: no delay after a
/// failed opening is running, not too many are being opened (only one after a
/// failure), and this instance's share is not used up.
auto may_open(dispatch_state& s, target_entry& t, time_point now) -> bool;

/// Starts to open a connection to the target.
auto open_link(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Opens a connection before a request needs it, if the target has none and
/// its `link_share::to_preconnect` is set.
auto preconnect(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Calls `preconnect` for all targets.
auto preconnect_all(dispatch_state& s, time_point now, commands& out) -> void;

/// Closes a connection and removes it from the pool.
auto close_link(dispatch_state& s, connection_id id, commands& out) -> void;

/// Closes all idle connections of a target.
auto close_idle(dispatch_state& s, target_entry& t, commands& out) -> void;

/// True if `take_idle` would find a connection for the part.
auto has_idle(dispatch_state const& s, target_entry const& t, part const& p,
    delivery_semantics how, time_point now) -> bool;

/// Takes an idle connection for a part, the most recently used one first.
///
/// A target may send a duplicate reply late. A retry has the same request ID,
/// so on the same connection the duplicate would be accepted as the reply to
/// the retry. A connection on which the target has already replied to the part
/// is therefore used last, and never for an at-most-once request. Such a
/// request also takes only a connection that became idle a short time ago,
/// which the target is unlikely to have closed, and prefers one that has
/// carried a reply, since the target may still reset a new one.
///
/// @returns The connection, or 0 if there is none.
auto take_idle(dispatch_state& s, target_entry& t, part const& p,
    delivery_semantics how, time_point now) -> connection_id;

/// Opens a connection for a request that found no usable one. If `may_open`
/// does not hold, an idle connection is closed first; the only connection to a
/// target is opened in any case, even beyond this instance's share.
auto open_for_request(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Makes a connection idle, after its opening or a reply.
///
/// @param[in] idle_limit Idle time after which the target closes it; 0 if not
///     stated.
auto release_link(dispatch_state& s, link const& l, duration idle_limit,
    time_point now) -> void;

/// Removes a connection that has already ended from the pool.
auto remove_link(dispatch_state& s, link const& l) -> void;

/// Handles an opened connection.
auto on_opened(dispatch_state& s, connection_opened const& e, time_point now,
    commands& out) -> void;

/// Time since a connection opened after which a target that has too many
/// connections would have reset it.
auto time_to_settle(target_entry const& t, dispatch_limits const& limits)
    -> duration;

/// True if a new idle connection was reset soon after it opened: the target had
/// more connections than it accepts.
auto was_turned_away(dispatch_state const& s, link const& l, connection_end how,
    time_point now) -> bool;

/// Delays the next opening after a failure to connect; the delay grows with
/// each failure in a row.
auto back_off(dispatch_state& s, target_entry& t, time_point now) -> void;

/// Handles a connection that could not be opened, or that the target reset soon
/// after it was opened.
auto on_open_failed(
    dispatch_state& s, link const& l, time_point now, commands& out) -> void;

/// Closes a connection that has been opening, or idle, for too long.
auto on_link_due(dispatch_state& s, link_due const& e, time_point now,
    commands& out) -> void;

/// Reports the condition of a target, as this instance observes it, if it has
/// changed since the last report. `recovered` is reported only after a bad one.
auto report_condition(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
