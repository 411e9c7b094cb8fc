/// This instance's contact with the store: one state for all kinds of objects,
/// since a loss that shows on one connection may concern all of them.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_STORE_CONTACT_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_STORE_CONTACT_HPP

#include "core/dispatch/follow.hpp"

#include <optional>

namespace knapweedstream::dispatch
{

/// Contact with the store, as seen on the calls for all kinds of objects.
struct store_contact
{
    /// While calls fail: the only kind for which the store is called, to find
    /// out whether it answers again.
    std::optional<store_kind> probing;
    /// When calls last began to fail. A watch that has been waiting since
    /// before then may be on a connection that no longer delivers.
    time_point doubt_since;
    store_version newest; ///< Newest one in any answer.
    store_era era;        ///< Highest one that was stated.

    auto operator<=>(store_contact const&) const = default;
};

/// True if a failed call says that the store cannot be reached or rejects
/// calls, rather than that it has answered something else than expected.
auto is_contact_lost(store_failure why) -> bool;

/// Contact after an answer that shows the store at a version.
auto with_answer(store_contact c, store_version version) -> store_contact;

/// Contact after a relay has passed on what the store had at a version. It says
/// nothing about whether this instance can reach the store.
auto with_relayed_version(store_contact c, store_version version)
    -> store_contact;

/// Contact after a failed call for the kind that `f` follows.
auto with_failed_call(store_contact c, follow_state const& f, store_failure why,
    time_point now) -> store_contact;

/// True if the kind's call has been pending since before calls began to fail.
auto is_in_doubt(store_contact const& c, follow_state const& f) -> bool;

/// When the kind's watch is checked if it stays quiet until then.
auto check_time(follow_state const& f, dispatch_limits const& limits)
    -> time_point;

/// True if it is time to check the waiting watch of a kind. That of the targets
/// is checked whenever it has been quiet for the kind's interval; the others
/// only if the store has changed since they were last confirmed.
auto needs_check(store_contact const& c, follow_state const& f,
    dispatch_limits const& limits, time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
