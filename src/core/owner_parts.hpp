/// Shards of a sub-query at its owner: sent, queued, hedged, ended.
#ifndef KNAPWEEDSTREAM_CORE_OWNER_PARTS_HPP
#define KNAPWEEDSTREAM_CORE_OWNER_PARTS_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Part of a sub-query; null if it has gone.
auto find_part(node_state& s, part_key const& key) -> part*;

/// Attempts of the part that are out.
auto running_count(part const& p) -> std::size_t;

/// The part once an attempt has ended.
auto without_attempt(part const& p, attempt_id id) -> part;

/// Gives a part up and queues the reason for the entry.
auto fail_part(node_state& s, part_key const& key, shard_failure reason,
    time_point now, commands& out) -> void;

/// Ends a part and cancels what still runs for it.
auto end_part(node_state& s, part_key const& key, sub_query_entry& e,
    time_point now, commands& out) -> void;

/// Sends the first attempt of a part.
auto dispatch_primary(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool;

/// Pays for one extra request from the budget; false if it cannot.
auto pay_extra(service_entry& service) -> bool;

/// Why no replica of the shard can take a request, now or soon.
///
/// @returns Nothing if one can.
auto hopeless(node_state const& s, shard_entry const& shard, snapshot at,
    time_point now) -> std::optional<shard_failure>;

/// Sends a part, queues it, or gives it up.
auto place(node_state& s, part_key const& key, time_point now, commands& out)
    -> void;

/// One hedge timer serves all parts of a sub-query.
auto arm_hedge(node_state& s, sub_key const& key, time_point when) -> void;

/// Time after which a part that has not answered is hedged.
auto hedge_delay(service_entry const& service, time_point deadline,
    time_point now) -> duration;

/// Sends a second attempt of a part if that costs nobody else.
auto hedge(node_state& s, part_key const& key, bool last_chance, time_point now,
    commands& out) -> bool;

/// True if a part may get a second attempt at some time.
auto may_hedge(node_state const& s, part const& p) -> bool;

/// Time the part's running attempt was sent.
auto sent_at(node_state const& s, part const& p) -> time_point;

} // namespace knapweedstream

#endif
