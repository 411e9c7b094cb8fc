/// Keeps one kind of the store's objects up to date: lists them, then watches
/// or polls for changes, and retries after failures. Decides which call to the
/// store comes next and when.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_FOLLOW_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_FOLLOW_HPP

#include "core/dispatch/limits.hpp"
#include "port/dispatch_command.hpp"
#include "port/dispatch_event.hpp"

#include <optional>
#include <variant>

namespace knapweedstream::dispatch
{

/// The pages of a list are being read.
struct listing
{
    /// Least version of the pages read: a change after it may be missing.
    store_version oldest;
    store_version newest;  ///< Greatest version of the pages read.
    std::size_t pages = 0; ///< Pages read.
    std::vector<stored_object> objects;
    time_point begun;   ///< When the first page was called.
    bool fresh = false; ///< No page may be stale.
    auto operator<=>(listing const&) const = default;
};

/// A watch is waiting for changes.
struct watching
{
    auto operator<=>(watching const&) const = default;
};

/// A relay passes changes on; no call to the store is needed.
struct relaying
{
    auto operator<=>(relaying const&) const = default;
};

/// No call to the store is waiting; the next one is made at `until`.
struct pausing
{
    time_point until;
    auto operator<=>(pausing const&) const = default;
};

/// Policy to list a kind of objects once and then watch it: the instance learns
/// of changes at once.
struct by_watch
{
    milliseconds wait{0};      ///< Maximum duration of a watch.
    milliseconds pause{0};     ///< Delay after a watch that returned changes.
    bool may_be_stale = false; ///< Changes may come seconds late.
    auto operator<=>(by_watch const&) const = default;
};

/// Policy to list a kind of objects periodically: the instance learns of
/// changes late, but at little cost.
struct by_poll
{
    /// Time between the first two lists; doubles with each list up to `most`.
    milliseconds first{0};
    milliseconds most{0};
    auto operator<=>(by_poll const&) const = default;
};

using follow_policy = std::variant<by_watch, by_poll>;

/// The policy by which a kind of objects is followed.
auto policy_of(store_kind kind, dispatch_limits const& limits) -> follow_policy;

/// Interval of checks of the kind's waiting watch: a quarter of the bound
/// within which its changes must be known.
auto check_interval(store_kind kind, dispatch_limits const& limits)
    -> milliseconds;

using follow_phase = std::variant<pausing, listing, watching, relaying>;

/// State of following one kind of objects.
struct follow_state
{
    store_kind kind = store_kind::configuration;
    follow_phase phase;
    store_version known;        ///< Revision 0: a list is needed.
    std::uint32_t failures = 0; ///< Failed calls in a row.
    std::uint32_t lists = 0;    ///< Number of complete lists read.
    /// Lists in a row after which a watch found its history discarded.
    std::uint32_t discarded = 0;
    /// Since when the kind is to be read afresh, while what is known of it
    /// stays in use; empty once it has been read.
    std::optional<time_point> restarted_at;
    bool require_fresh = false; ///< Watches must not return stale data.
    /// Only for targets: no request needs them yet; the pauses between watches
    /// are longer.
    bool low_priority = false;
    /// Lists must not return stale data, as no later watch would complete them.
    bool list_fresh = false;
    /// The last list could not be read to its end; what it held is in use.
    bool cut = false;
    /// A relay passes changes on, so that no new call is made once the pending
    /// one has ended.
    bool attached = false;
    /// The next call finds out first whether the store answers at all.
    bool unsure = false;
    time_point called_at;       ///< When the last list or watch was called.
    time_point answered_at;     ///< When one was last answered.
    time_point checked_at;      ///< When the waiting watch was last checked.
    bool check_pending = false; ///< A check awaits its answer.
    /// Version of the store up to which all changes of the kind are known; at
    /// least `known`.
    store_version confirmed;

    auto operator<=>(follow_state const&) const = default;
};

/// Result of a step: the state after it and the calls to make.
struct follow_step
{
    follow_state next;
    commands out;
};

/// Makes the next call to the store if the pause before it is over.
auto resume(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Adds a page to the pages read so far.
auto with_added(listing pages, store_listed const& page) -> listing;

/// True if a list cannot go on after a page: it says that more follow, but
/// names no object to continue from, or one that an earlier page has held.
auto is_cut(listing const& pages, store_listed const& page) -> bool;

/// Ends a list that cannot go on. It is read again later, from its start and
/// from data that is not stale.
auto with_cut_list(follow_state f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Adds a page to the list that is being read.
///
/// @returns The next step; the list is complete if its phase is not `listing`.
auto with_page(follow_state f, store_listed const& page,
    dispatch_limits const& limits, time_point now) -> follow_step;

/// Continues after a watch has returned.
auto with_changes(follow_state const& f, store_changed const& e,
    dispatch_limits const& limits, time_point now) -> follow_step;

/// Checks the waiting watch, if there is one. This detects a connection that
/// stays open but delivers nothing more.
auto with_check(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Calls for a kind at once. A pending call and its connection are replaced.
auto renewed(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// True if the watch that a check was sent for is still waiting.
auto is_check_of_watch(follow_state const& f, store_checked const& e) -> bool;

/// True if a check has returned changes that the waiting watch should have
/// returned.
auto has_missed_changes(follow_state const& f, store_checked const& e) -> bool;

/// Continues after a check has been answered. If the waiting watch has missed
/// changes, starts a new watch from the revision that the check returned.
auto with_checked(follow_state const& f, store_checked const& e,
    dispatch_limits const& limits, time_point now) -> follow_step;

/// Ends the low priority. If it was set, a pause that does not follow a failure
/// ends at once too.
auto prioritized(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Lists the kind again, since the store no longer has the changes since
/// `known`; after a pause if the last list led to no watch either.
auto without_history(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// Lists the kind again at once, from data that is not stale. Has no effect
/// while a list is being read or calls fail.
auto relisted(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step;

/// The next list is called at `due` if it would be called later. Has no effect
/// while calls fail.
///
/// @param[in] fresh The list must not be stale.
auto with_list_due(follow_state f, time_point due, bool fresh) -> follow_state;

/// Reads the kind afresh in an era, from data that is not stale: by a list, or
/// from the relay that passes it on. What is known of it stays in use.
///
/// @param[in] due Time of the list, unless calls fail.
auto restarted(follow_state f, std::uint64_t era, time_point due,
    time_point now) -> follow_state;

/// Follows a kind through a relay.
auto with_relay(follow_state f) -> follow_state;

/// Follows a kind by own calls again, from `until` on. The first one is a
/// probe, since the relay may have failed together with the store.
auto without_relay(follow_state f, time_point until) -> follow_state;

/// Takes note that a relay has passed on all changes up to a version.
///
/// @param[in] complete The relay has passed on the whole list. Changes alone
///     say nothing of a kind that is to be read afresh.
auto with_relayed(follow_state f, store_version version, bool complete)
    -> follow_state;

/// Schedules the next call after a failed one, with exponential backoff.
///
/// @param[in] jitter From 0 to 1; spreads the calls of the instances.
auto with_failure(follow_state const& f, dispatch_limits const& limits,
    double jitter, time_point now) -> follow_step;

} // namespace knapweedstream::dispatch

#endif
