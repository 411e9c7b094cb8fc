/// The entry's side of a query: admission, snapshot, owners, coverage, merge.
#ifndef KNAPWEEDSTREAM_CORE_ENTRY_HPP
#define KNAPWEEDSTREAM_CORE_ENTRY_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Service of a customer by name; 0 if there is none.
auto find_service(node_state const& s, std::string_view customer,
    std::string_view service) -> service_id;

/// First checks of every caller request.
///
/// @returns A refusal, or nothing if the request may go on.
auto check_admission(node_state const& s, std::string const& customer,
    std::string const& service, milliseconds deadline)
    -> std::optional<refusal>;

/// Counts a finished request; unknown customers have no objectives.
auto report_counts(node_state const& s, std::string const& customer,
    request_counts const& counts, commands& out) -> void;

/// A caller sent a query.
auto on_caller_query(node_state& s, caller_query const& e, time_point now,
    commands& out) -> void;
/// A caller hung up.
auto on_caller_gone(
    node_state& s, caller_gone const& e, time_point now, commands& out) -> void;
/// An owner answered.
auto on_sub_answer(node_state& s, instance_id from, sub_answer const& m,
    time_point now, commands& out) -> void;

/// Looks whether an asked owner is still there.
auto on_owner_check_due(node_state& s, owner_check_due const& e, time_point now,
    commands& out) -> void;

/// Asks again for a shard that no owner could take a while ago.
auto on_shard_retry_due(node_state& s, shard_retry_due const& e, time_point now,
    commands& out) -> void;

/// The canary shard has been slow: asks the others as well.
auto on_canary_due(
    node_state& s, canary_due const& e, time_point now, commands& out) -> void;

/// Time to answer with what there is.
auto on_query_due(
    node_state& s, query_due const& e, time_point now, commands& out) -> void;

} // namespace knapweedstream

#endif
