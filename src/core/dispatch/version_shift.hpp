/// Moves a service's requests from one version of its targets to another, as an
/// operator's rollout order asks, or back if the new version is bad.
///
/// A few instances try the new version with a small share of their requests.
/// Near the end of the order's duration every instance moves all requests. The
/// old targets stop as soon as the order's status is `completed`, so this is
/// written only after the time when every instance moves, and only once enough
/// requests have shown that the new version is good. The outcomes of all
/// instances are judged together; an instance that finds the new version bad
/// stops using it at once and writes `rolled_back`.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_SHIFT_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_SHIFT_HPP

#include "core/dispatch/limits.hpp"
#include "core/dispatch/version_evidence.hpp"
#include "port/store.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace knapweedstream::dispatch
{

/// The new version gets a small share of requests.
struct shift_trying
{
    auto operator<=>(shift_trying const&) const = default;
};

/// The new version gets all requests; the old targets still run.
struct shift_moved
{
    auto operator<=>(shift_moved const&) const = default;
};

/// The order is completed: the old targets stop.
struct shift_completed
{
    auto operator<=>(shift_completed const&) const = default;
};

/// The order is rolled back: the new version gets no requests.
struct shift_rolled_back
{
    /// Fault that this instance found; `none` if another instance rolled back.
    rollout_fault why = rollout_fault::none;
    time_point since;             ///< When it was found.
    bool by_own_outcomes = false; ///< This instance's outcomes alone show it.
    auto operator<=>(shift_rolled_back const&) const = default;
};

using shift_phase =
    std::variant<shift_trying, shift_moved, shift_completed, shift_rolled_back>;

/// State of a rollout order on one instance.
struct version_shift
{
    rollout_order order;   ///< As last read from the store.
    store_version version; ///< Of the order, when it was last read.
    time_point since;      ///< When this instance first saw it.
    time_point read_at;    ///< When it was last read.
    shift_phase phase;
    std::vector<route_outcomes> outcomes; ///< That this instance has seen.
    /// Accumulated trial share; a request goes to the new version when it
    /// reaches 1.
    double credit = 0;
    /// Requests that this instance may send to the new version as a trial
    /// beyond the trial share.
    double reserve = 0;
    time_point reported_at; ///< When a state was last written to the store.

    auto operator<=>(version_shift const&) const = default;
};

/// Which versions of a service a part of a request may be sent to.
enum class version_side : std::uint8_t
{
    any,
    old_only,   ///< Never the new one.
    prefer_new, ///< The new one; any if no target of it can be used.
};

/// The versions that the next request may be sent to, and the state after the
/// choice.
struct side_choice
{
    version_side side = version_side::any;
    version_shift next;
};

/// Starts to carry out an order that was not seen before.
///
/// @param[in] reserve Result of `trial_reserve`.
auto begin_shift(rollout_order const& o, store_version version, double reserve,
    time_point now) -> version_shift;

/// Applies a change of the order in the store. An order to another version, or
/// one that is open again after its end, starts over. An order that is first
/// read in a new era of the store goes on: its state may have been lost, and is
/// then written again.
auto with_order(version_shift const& v, rollout_order const& o,
    store_version version, double reserve, time_point now) -> version_shift;

/// Share of its own requests that an instance sends to the new version as a
/// trial; 0 for most instances if there are many.
///
/// @param[in] rank Position of the instance, from 0, in an order of all
///     instances that differs from service to service.
/// @param[in] instances Number of known instances.
auto trial_share(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double;

/// Requests that an instance may send to the new version as a trial beyond its
/// trial share, so that a service with few requests is tried too.
///
/// @param[in] rank,instances As for `trial_share`.
auto trial_reserve(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double;

/// Chooses the versions for the next request.
///
/// @param[in] share Result of `trial_share`.
auto choose_side(version_shift const& v, double share) -> side_choice;

/// Records the outcome of a request to a version of the service.
auto with_result(version_shift const& v, std::string const& version,
    std::string const& route, version_outcome outcome) -> version_shift;

/// Moves all requests to the new version when that is due, or rolls back if the
/// new version is bad. Has no effect on a completed or rolled back order.
///
/// @param[in] all Outcomes that all instances together have seen.
auto advanced(version_shift const& v, std::span<route_outcomes const> all,
    time_point now) -> version_shift;

/// State to write to the store now, if any.
///
/// @param[in] rank As for `trial_share`. The instance of rank 0 writes first;
///     others write only if the order's state is still unchanged some time
///     later. An instance whose own outcomes show a fault writes the rollback
///     at once.
/// @param[in] all Outcomes that all instances together have seen.
auto state_to_report(version_shift const& v,
    std::span<route_outcomes const> all, std::size_t rank, time_point now)
    -> std::optional<order_state>;

/// True if a request of `side` may be sent to a target with `version`.
auto matches_side(version_shift const& v, version_side side,
    std::string const& version) -> bool;

/// Name of a phase in the log.
auto name_of(shift_phase const& p) -> char const*;

} // namespace knapweedstream::dispatch

#endif
