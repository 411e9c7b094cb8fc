/// Connections to targets: how many, when opened, when closed.
///
/// A target accepts a limited number of connections from all instances
/// together. Each instance keeps to a share of it that follows from the number
/// of live instances; near targets get more connections than far ones.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_POOL_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_POOL_HPP

#include "core/dispatch/tables.hpp"

#include <cstdint>

namespace knapweedstream::dispatch
{

/// How many instances share a target's connections.
struct fleet_size
{
    std::uint32_t near = 1; ///< In the target's region, this one included.
    std::uint32_t far = 0;  ///< In other regions.

    auto operator<=>(fleet_size const&) const = default;
};

/// Connections that one instance may hold to a target.
///
/// @param[in] accepted Connections that the target accepts; 0 if unknown.
/// @param[in] is_near The instance is in the target's region.
auto connection_share(std::uint32_t accepted, fleet_size const& fleet,
    bool is_near, dispatch_limits const& limits) -> std::uint32_t;

/// True if new requests may go to the target at all.
auto is_usable(target_entry const& t, time_point now) -> bool;

/// True if it has a connection, or one may be tried now.
auto is_reachable(target_entry const& t, time_point now) -> bool;

/// True if another connection may be opened now.
auto may_open(dispatch_state const& s, target_entry const& t, time_point now)
    -> bool;

/// Opens a connection.
auto open_link(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Opens a connection ahead of need if the target has none to spare.
auto keep_spare(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

/// Closes a connection and removes it from the tables.
auto close_link(dispatch_state& s, connection_id id, commands& out) -> void;

/// Closes all idle connections of a target.
auto close_idle(dispatch_state& s, target_entry& t, commands& out) -> void;

/// Takes an idle connection for a request; the one used last first.
///
/// @param[in] fresh Only one that the target can hardly have closed.
/// @returns The connection, or 0.
auto take_idle(dispatch_state& s, target_entry& t, bool fresh, time_point now,
    commands& out) -> connection_id;

/// Gives a connection back after a reply.
auto give_back(dispatch_state& s, link const& l, duration idle_limit,
    time_point now) -> void;

/// Removes a connection from the tables.
auto forget_link(dispatch_state& s, link const& l) -> void;

/// A connection stands.
auto on_opened(dispatch_state& s, connection_opened const& e, time_point now,
    commands& out) -> void;

/// A connection could not be opened.
auto on_not_opened(
    dispatch_state& s, link const& l, time_point now, commands& out) -> void;

/// A connection has been opening, or idle, for too long.
auto on_link_due(dispatch_state& s, link_due const& e, time_point now,
    commands& out) -> void;

/// Tells the log if the view of a target has changed.
auto tell_view(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
