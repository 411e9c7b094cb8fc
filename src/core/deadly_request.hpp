/// Requests that kill targets: found by their fingerprint, then refused.
///
/// A request that was running on a target when it died is suspected by the
/// shard's primary owner, which is told if another owner saw it. A suspected
/// request runs again only there, one attempt at a time, on a target with no
/// other suspected request. If another target dies too the request is refused
/// everywhere for a time; if it answers, the suspicion ends.
#ifndef KNAPWEEDSTREAM_CORE_DEADLY_REQUEST_HPP
#define KNAPWEEDSTREAM_CORE_DEADLY_REQUEST_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// True while the request is refused.
auto is_banned(node_state const& s, fingerprint print, time_point now) -> bool;

/// True if a target died while it ran the request.
auto is_suspected(node_state const& s, fingerprint print) -> bool;

/// Notes that a suspected request was sent to the target.
auto begin_suspect_attempt(node_state& s, target_entry& t, attempt const& a)
    -> void;

/// Notes that an attempt left the target.
///
/// @returns True if it was the attempt of a suspected request.
auto end_suspect_attempt(node_state& s, target_entry& t, attempt const& a)
    -> bool;

/// Holds a death that another owner saw against the request; a second one
/// bans it.
///
/// @param[in] lost The target that died.
auto on_reported_loss(node_state& s, fingerprint print, lost_target const& lost,
    time_point now, commands& out) -> void;

/// A target died while it ran the attempt.
///
/// @param[in] confirming The request was suspected when it was sent.
auto on_target_lost(node_state& s, attempt const& a, bool confirming,
    time_point now, commands& out) -> void;

/// The request ran without harm.
auto clear_suspicion(node_state& s, fingerprint print) -> void;

/// Remembers that the request ran without harm somewhere: it needs no canary.
auto mark_known_safe(node_state& s, fingerprint print) -> void;

/// A peer found a deadly request.
auto on_deadly_notice(node_state& s, deadly_notice const& m, time_point now,
    commands& out) -> void;

} // namespace knapweedstream

#endif
