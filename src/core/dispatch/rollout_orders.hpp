/// Rollout orders of the operators: what the store tells of them, which side a
/// request goes to, and what is written back.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ROLLOUT_ORDERS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ROLLOUT_ORDERS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Takes an order in, or what has become of it.
auto apply_order(dispatch_state& s, rollout_order const& o,
    std::uint64_t revision, time_point now, commands& out) -> void;

/// An order was removed.
auto drop_order(dispatch_state& s, std::string const& service) -> void;

/// Names of the services with an order.
auto ordered_services(dispatch_state const& s) -> std::vector<std::string>;

/// Side of the next request for a service.
auto next_side(dispatch_state& s, service_id service) -> version_side;

/// A request to a target of the service has ended.
auto record_version_result(dispatch_state& s, target_entry const& t,
    bool failed, duration took) -> void;

auto on_shift_due(dispatch_state& s, shift_due const& e, time_point now,
    commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
