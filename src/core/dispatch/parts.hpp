/// Queries and updates on the parts of a request: attempts, coverage and how
/// urgent an extra request is.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_PARTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_PARTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Number of attempts of the part that are in flight.
auto running_count(part const& p) -> std::size_t;

/// True if the part was sent to the target. Only the first `max_tried` targets
/// of a part are remembered.
auto was_tried(part const& p, target_id id) -> bool;

/// True if the part is neither answered nor failed.
auto is_open(part const& p) -> bool;

/// Least share of parts that must be answered for a successful answer; 1 for a
/// request to a single service.
auto required_coverage(route const& r) -> double;

/// True if this many answered parts are enough for a successful answer.
auto meets_coverage(request_entry const& e, std::uint32_t parts) -> bool;

/// True if the request can be answered successfully without an extra request:
/// enough parts are answered or have an attempt in flight. Once the objective
/// has passed, only the answered ones count.
auto covered_without_extra(request_entry const& e, time_point now) -> bool;

/// Urgency of an extra request for a part of the request, for the retry budget.
auto urgency_of(request_entry const& e, attempt_kind kind, time_point now)
    -> urgency;

/// True if the part waits for a scheduled retry.
auto waits_to_retry(part const& p) -> bool;

/// The part after an attempt was sent.
auto with_attempt(part const& p, attempt const& a) -> part;

/// The part after an attempt ended. It still counts in `sends` and `runs`.
auto without_attempt(part const& p, attempt_id id) -> part;

/// Marks an open part of a request as failed.
auto fail_part(request_entry& e, part& p, time_point now) -> void;

/// Finds a part of an open request; null if the request has ended.
auto find_part(dispatch_state& s, part_key const& key) -> part*;

} // namespace knapweedstream::dispatch

#endif
