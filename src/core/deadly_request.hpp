/// Detection of requests that crash targets ("queries of death"). They are
/// identified by their fingerprint and refused.
///
/// The primary owner of a shard suspects a request that was running on a target
/// when the target was lost; other owners report such a loss to it through the
/// entry instance of the query. A suspected request runs again only at the
/// primary owner, one attempt at a time, on a target with no other suspected
/// request. If a second target is lost, all instances refuse the request for a
/// while (`fingerprint_ban`); if the target answers, the suspicion ends.
#ifndef KNAPWEEDSTREAM_CORE_DEADLY_REQUEST_HPP
#define KNAPWEEDSTREAM_CORE_DEADLY_REQUEST_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// True while the request is to be refused.
auto is_banned(node_state const& s, fingerprint print, time_point now) -> bool;

/// True if a target was lost while it ran the request.
auto is_suspected(node_state const& s, fingerprint print) -> bool;

/// Notes that an attempt of a suspected request was sent to the target.
auto begin_suspect_attempt(node_state& s, target_entry& t, attempt const& a)
    -> void;

/// Notes that an attempt on the target ended.
///
/// @returns True if the request was suspected when the attempt was sent.
auto end_suspect_attempt(node_state& s, target_entry& t, attempt const& a)
    -> bool;

/// Handles a loss that another owner detected: suspects the request, or bans it
/// if this is a second loss.
///
/// @param[in] lost Target that was lost; 0 if not known.
auto on_reported_loss(node_state& s, fingerprint print, lost_target const& lost,
    time_point now, commands& out) -> void;

/// Handles the loss of a target while it ran the attempt. Only the primary
/// owner of the shard acts on it.
///
/// @param[in] confirming The request was suspected when it was sent. Only such
///     an attempt can ban it.
auto on_target_lost(node_state& s, attempt const& a, bool confirming,
    time_point now, commands& out) -> void;

/// Ends the suspicion of a request that a target answered. A ban stays.
auto clear_suspicion(node_state& s, fingerprint print) -> void;

/// Remembers that a target answered the request, so that it needs no canary.
auto mark_known_safe(node_state& s, fingerprint print) -> void;

/// Bans a request that a peer has banned.
auto on_deadly_notice(node_state& s, deadly_notice const& m, time_point now,
    commands& out) -> void;

} // namespace knapweedstream

#endif
