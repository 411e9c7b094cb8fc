/// Following one kind of the store's objects: list, then watch, again after
/// failures. Decides which call comes next and when.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_FOLLOW_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_FOLLOW_HPP

#include "core/dispatch/limits.hpp"
#include "port/dispatch_command.hpp"
#include "port/dispatch_event.hpp"

#include <optional>
#include <variant>

namespace knapweedstream::dispatch
{

/// Pages of a list are being read.
struct listing
{
    std::uint64_t revision = 0; ///< Of the first page; 0 before it.
    std::vector<stored_object> objects;
    auto operator<=>(listing const&) const = default;
};

/// A watch waits for changes.
struct watching
{
    auto operator<=>(watching const&) const = default;
};

/// The next call waits.
struct pausing
{
    time_point until;
    auto operator<=>(pausing const&) const = default;
};

/// A kind is listed, then watched: changes are known at once.
struct by_watch
{
    milliseconds wait{0};      ///< Of a watch that brings nothing.
    milliseconds pause{0};     ///< After a watch that brings changes.
    bool may_be_stale = false; ///< Changes may come seconds late.
    auto operator<=>(by_watch const&) const = default;
};

/// A kind is listed now and then: changes are known late, at little cost.
struct by_poll
{
    milliseconds first{0}; ///< Between the first two lists; doubles
    milliseconds most{0};  ///< up to this.
    auto operator<=>(by_poll const&) const = default;
};

using follow_policy = std::variant<by_watch, by_poll>;

/// How a kind is followed.
auto policy_of(store_kind kind, dispatch_limits const& limits) -> follow_policy;

using follow_phase = std::variant<pausing, listing, watching>;

/// How far an instance follows a kind.
struct follow_state
{
    store_kind kind = store_kind::configuration;
    follow_phase phase;
    std::uint64_t revision = 0; ///< Watched from; 0: a list is needed.
    std::uint32_t failures = 0; ///< In a row.
    std::uint32_t lists = 0;    ///< Whole lists read.
    bool require_fresh = false; ///< News must not be seconds old for now.
    bool low_priority = false;  ///< Nobody needs news yet.
    bool history_lost = false;  ///< Changes since a revision were gone once.

    auto operator<=>(follow_state const&) const = default;
};

/// A step: what is known after it, and the call that it makes.
struct follow_step
{
    follow_state next;
    commands out;
};

/// Makes the call that is due.
auto resume(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Takes a page in.
///
/// @returns The next step; the list is whole when its phase is no `listing`.
auto with_page(follow_state f, store_listed const& page,
    dispatch_limits const& limits, time_point now) -> follow_step;

/// Continues after changes.
auto with_changes(follow_state const& f, store_changed const& e,
    dispatch_limits const& limits, time_point now) -> follow_step;

/// The check of a waiting watch, if one waits. A connection may return nothing
/// more and yet stay open.
auto check_of(follow_state const& f) -> std::optional<store_check>;

/// True if a check shows that the waiting watch has not brought changes.
auto has_missed_changes(follow_state const& f, store_checked const& e) -> bool;

/// Watches again if the waiting watch is silent, from what the check brought.
auto with_checked(follow_state const& f, store_checked const& e,
    dispatch_limits const& limits) -> follow_step;

/// News is needed from now on.
auto prioritized(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Starts over, since the changes are gone.
auto without_history(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Waits after a failure.
///
/// @param[in] jitter From 0 to 1; spreads the instances' calls.
auto with_failure(follow_state const& f, dispatch_limits const& limits,
    double jitter, time_point now) -> follow_step;

} // namespace knapweedstream::dispatch

#endif
