/// Carries out the operators' rollout orders: reads them from the store,
/// chooses the versions that requests are sent to, and writes back the orders'
/// states.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ROLLOUT_ORDERS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ROLLOUT_ORDERS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Applies a new or changed order from the store.
auto apply_order(dispatch_state& s, rollout_order const& o,
    store_version version, time_point now, commands& out) -> void;

/// Ends an order that was removed from the store.
auto drop_order(dispatch_state& s, std::string const& service) -> void;

/// Names of the services that have an order.
auto ordered_services(dispatch_state const& s) -> std::vector<std::string>;

/// Chooses the versions of a service that the next request may be sent to.
auto next_side(dispatch_state& s, service_id service) -> version_side;

/// Records the outcome of an attempt for the order of the target's service, if
/// there is one.
auto record_version_result(dispatch_state& s, target_entry const& t,
    attempt const& a, bool failed, time_point now) -> void;

/// True if an attempt has taken several times the typical latency of its route.
auto is_slow(attempt const& a, time_point now) -> bool;

/// True if the target has the new version of a rollout that is not decided.
auto is_on_trial(dispatch_state const& s, target_entry const& t) -> bool;

/// Checks an order that is not final: enters its next phase or writes its state
/// if that is due.
auto on_shift_due(dispatch_state& s, shift_due const& e, time_point now,
    commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
