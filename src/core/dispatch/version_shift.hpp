/// Moves a service's requests from one version of its targets to another, as
/// an operator's rollout order asks, or leaves the new version alone if it is
/// bad.
///
/// A few instances try the new version with a small share of requests. Late in
/// the stated time all requests move; the old targets stop as soon as the order
/// is told to be completed, so this is told only when every instance has moved.
/// Any instance that finds the new version bad leaves it at once and says so in
/// the order's status.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_SHIFT_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_SHIFT_HPP

#include "core/dispatch/limits.hpp"
#include "core/rollout.hpp"
#include "port/store.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace knapweedstream::dispatch
{

/// The new version gets a small share.
struct shift_trying
{
    auto operator<=>(shift_trying const&) const = default;
};

/// The new version gets all requests; the old targets are still there.
struct shift_moved
{
    auto operator<=>(shift_moved const&) const = default;
};

/// The order is completed: the old targets are gone.
struct shift_done
{
    auto operator<=>(shift_done const&) const = default;
};

/// The new version gets nothing.
struct shift_undone
{
    rollout_fault why = rollout_fault::none; ///< `none`: another one found it.
    auto operator<=>(shift_undone const&) const = default;
};

using shift_phase =
    std::variant<shift_trying, shift_moved, shift_done, shift_undone>;

/// An order as one instance carries it out.
struct version_shift
{
    rollout_order order; ///< As it stands in the store.
    std::uint64_t revision = 0;
    time_point since; ///< When this instance first saw it.
    shift_phase phase;
    version_record before;  ///< Results of the old version,
    version_record after;   ///< and of the new one.
    double credit = 0;      ///< Requests that the new version may have.
    time_point reported_at; ///< When a status was last sent to the store.

    auto operator<=>(version_shift const&) const = default;
};

/// Versions that a part of a request may go to.
enum class version_side : std::uint8_t
{
    any,
    old_only, ///< Never the new one.
    prefer_new,
};

/// The side of the next request, and the state after it.
struct side_choice
{
    version_side side = version_side::any;
    version_shift next;
};

/// An order that was not seen before.
auto begin_shift(rollout_order const& o, std::uint64_t revision, time_point now)
    -> version_shift;

/// The order has changed in the store.
auto with_order(version_shift const& v, rollout_order const& o,
    std::uint64_t revision, time_point now) -> version_shift;

/// Part of its own requests that an instance tries the new version with.
///
/// @param[in] rank Of the instance among all, for this service; 0 is first.
/// @param[in] instances Number of live instances.
auto trial_share(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double;

/// Decides where the next request goes.
auto choose_side(version_shift const& v, double share) -> side_choice;

/// A request to a version of the service has ended.
auto with_result(version_shift const& v, std::string const& version,
    bool failed, duration took) -> version_shift;

/// Moves on if the time has come, or leaves the new version if it is bad.
auto advanced(version_shift const& v, time_point now) -> version_shift;

/// State that is to be written to the store now, if any.
///
/// @param[in] rank As for `trial_share`; the first writes, others only later.
auto state_to_report(version_shift const& v, std::size_t rank, time_point now)
    -> std::optional<order_state>;

/// True if a target of a version may get a request of a side.
auto matches_side(version_shift const& v, version_side side,
    std::string const& version) -> bool;

/// The word for a phase.
auto name_of(shift_phase const& p) -> char const*;

} // namespace knapweedstream::dispatch

#endif
