/// What a part of a request has come to; functions on the value alone.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_PARTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_PARTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Attempts that are out.
auto running_count(part const& p) -> std::size_t;

/// True if the target was asked for this part.
auto was_tried(part const& p, target_id id) -> bool;

/// True if the part is neither answered nor given up.
auto is_open(part const& p) -> bool;

/// Share of the parts that an answer needs.
auto required_coverage(route const& r) -> double;

/// True if so many parts are enough for an answer.
auto meets_coverage(request_entry const& e, std::uint32_t parts) -> bool;

/// True if an answer is possible though all parts that are late, failed or
/// without an attempt stay out.
auto covered_without_extra(request_entry const& e, time_point now) -> bool;

/// How much an extra request for a part of the request matters.
auto urgency_of(request_entry const& e, attempt_kind kind, time_point now)
    -> urgency;

/// True if it was sent, has no attempt any more and waits for the next one.
auto waits_to_retry(part const& p) -> bool;

/// An attempt was sent to a target.
auto with_attempt(part const& p, attempt const& a) -> part;

/// An attempt is over.
auto without_attempt(part const& p, attempt_id id) -> part;

/// Gives a part of a request up.
auto fail_part(request_entry& e, part& p, time_point now) -> void;

/// Part of a request in flight, or null.
auto find_part(dispatch_state& s, part_key const& key) -> part*;

} // namespace knapweedstream::dispatch

#endif
