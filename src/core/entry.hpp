/// Queries at their entry instance, the one that the caller reached: admission,
/// choice of snapshot and owners, coverage, merge.
#ifndef KNAPWEEDSTREAM_CORE_ENTRY_HPP
#define KNAPWEEDSTREAM_CORE_ENTRY_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Finds a customer's service by name.
///
/// @returns The service, or 0 if there is none.
auto find_service(node_state const& s, std::string_view customer,
    std::string_view service) -> service_id;

/// Checks that apply to queries and bookings alike: known customer and service,
/// deadline in range, admission limits.
///
/// @param[in] deadline Requested deadline; 0 selects the default.
/// @returns A refusal, or nothing if the request is admitted.
auto check_admission(node_state const& s, std::string const& customer,
    std::string const& service, milliseconds deadline)
    -> std::optional<refusal>;

/// Counts a finished request towards its customer's objectives. Requests of
/// unknown customers are not counted.
auto report_counts(node_state const& s, std::string const& customer,
    request_counts const& counts, commands& out) -> void;

/// Handles a query of a caller.
auto on_caller_query(node_state& s, caller_query const& e, time_point now,
    commands& out) -> void;
/// Cancels the query of a caller that disconnected.
auto on_caller_gone(
    node_state& s, caller_gone const& e, time_point now, commands& out) -> void;
/// Handles the answer of an owner.
auto on_sub_answer(node_state& s, instance_id from, sub_answer const& m,
    time_point now, commands& out) -> void;

/// Checks an owner that has not answered; fails over if it is silent.
auto on_owner_check_due(node_state& s, owner_check_due const& e, time_point now,
    commands& out) -> void;

/// Asks the owners again for a shard that none of them could take before.
auto on_shard_retry_due(node_state& s, shard_retry_due const& e, time_point now,
    commands& out) -> void;

/// Asks the remaining shards if the canary shard is slow. A suspected request
/// keeps waiting.
auto on_canary_due(
    node_state& s, canary_due const& e, time_point now, commands& out) -> void;

/// Answers the caller at the deadline with the shards that were received.
auto on_query_due(
    node_state& s, query_due const& e, time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
