/// Follows the eras of the store: each begins when the store comes back from an
/// older copy of its data, without what was written since.
///
/// A new era starts all kinds of objects afresh. What is in force stays in
/// force meanwhile. What the store no longer has, or has in an earlier state,
/// is kept until its writer must have written it again; then the store's state
/// counts.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ERAS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ERAS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// How an answer relates to the era of the store that is known.
enum class answer_era : std::uint8_t
{
    current,
    outdated, ///< The answer is of an earlier era and must not be used.
    begun,    ///< The answer has begun a new era.
};

/// Compares the era that an answer states with the one known. Begins a later
/// era; gives an answer that states none the era last seen.
///
/// @param[in,out] era Era that the answer states.
/// @param[in] learned_from Kind of message that states it, for the log.
auto admit_era(dispatch_state& s, store_era& era, char const* learned_from,
    time_point now, commands& out) -> answer_era;

/// True if the objects of a kind that are known only from an earlier era are no
/// longer kept.
auto is_settled(dispatch_state const& s, store_kind kind, time_point now)
    -> bool;

/// True if targets and operator have had the time to write objects of a kind
/// again in the present era.
auto is_rewritten(dispatch_state const& s, store_kind kind, time_point now)
    -> bool;

/// Takes note that a kind has been listed in the present era.
auto note_listed(dispatch_state& s, store_kind kind, time_point now) -> void;

/// Reads a kind afresh. What is known of it stays in use.
auto restart_kind(dispatch_state& s, store_kind kind, milliseconds delay,
    time_point now) -> void;

/// Version known of an object; a default one if none is.
auto known_version(dispatch_state const& s, store_kind kind,
    std::string const& name) -> store_version;

/// Reads a kind afresh that has objects known only from an earlier era.
auto on_settle_due(dispatch_state& s, settle_due const& e, time_point now)
    -> void;

} // namespace knapweedstream::dispatch

#endif
