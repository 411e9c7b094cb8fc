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
    std::uint64_t revision, time_point now, commands& out) -> void;

/// Ends an order that was removed from the store.
auto drop_order(dispatch_state& s, std::string const& service) -> void;

/// Names of the services that have an order.
auto ordered_services(dispatch_state const& s) -> std::vector<std::string>;

/// Chooses the versions of a service that the next request may be sent to.
auto next_side(dispatch_state& s, service_id service) -> version_side;

/// Records the result of a request for the order of the target's service, if
/// there is one.
auto record_version_result(dispatch_state& s, target_entry const& t,
    bool failed, duration took) -> void;

/// Checks an order that is not final: enters its next phase or writes its state
/// if that is due.
auto on_shift_due(dispatch_state& s, shift_due const& e, time_point now,
    commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
