#include "core/dispatch/version_shift.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Time before the end of the order's duration when all requests move.
constexpr auto move_before = milliseconds{3'500};
/// Time before the end of the order's duration when it is completed.
constexpr auto complete_before = milliseconds{1'500};
/// Minimum time between two writes of an order's state.
constexpr auto report_interval = milliseconds{1'000};
/// Delay of a write per rank, so that normally only the first instance writes.
constexpr auto rank_delay = milliseconds{300};
constexpr auto max_rank_delays = std::size_t{5};
/// Used part of the share that may go to a new version.
constexpr auto trial_fraction = 0.5;
/// Maximum share of one instance's requests that goes to the new version.
constexpr auto max_trial_share = 0.5;
constexpr auto min_trial_instances = std::size_t{4};

/// Used part of the number of requests that a new version may get on top.
constexpr auto reserve_fraction = 0.4;

/// Instances that try a new version.
auto trial_instances(dispatch_bounds const& bounds, std::size_t instances)
    -> std::size_t
{
    auto const n = std::max<std::size_t>(1, instances);
    auto const all =
        trial_fraction * bounds.exposure_share * static_cast<double>(n);
    auto const enough = static_cast<std::size_t>(all / max_trial_share) + 1;
    return std::min(n, std::max(min_trial_instances, enough));
}

/// When all requests move; for a short order at half its duration.
auto move_time(version_shift const& v) -> time_point
{
    auto const d = v.order.duration;
    return v.since + std::max(d - move_before, d / 2);
}

/// When the order is completed; for a short order at 3/4 of its duration.
auto complete_time(version_shift const& v) -> time_point
{
    auto const d = v.order.duration;
    return v.since + std::max(d - complete_before, d * 3 / 4);
}

auto delay_of(std::size_t rank) -> duration
{
    return rank_delay * static_cast<int>(std::min(rank, max_rank_delays));
}

auto is_final(order_state s) -> bool
{
    return s == order_state::completed || s == order_state::rolled_back;
}

auto phase_of(order_state s, shift_phase const& now) -> shift_phase
{
    if (s == order_state::completed)
        return shift_completed{};
    if (s == order_state::rolled_back &&
        !std::holds_alternative<shift_rolled_back>(now))
        return shift_rolled_back{};
    return now;
}

/// Chooses the versions while a new one is tried: the new one for the trial
/// share, or for more while the reserve lasts.
auto choose_trial(version_shift const& v, double share) -> side_choice
{
    auto const from_reserve = v.reserve >= 1;
    auto next = v;
    next.credit += from_reserve ? max_trial_share : share;
    if (next.credit < 1)
        return {version_side::old_only, next};
    next.credit -= 1;
    next.reserve -= from_reserve ? 1 : 0;
    return {version_side::prefer_new, next};
}

} // namespace

auto begin_shift(rollout_order const& o, store_version version, double reserve,
    time_point now) -> version_shift
{
    auto v = version_shift{};
    v.order = o;
    v.version = version;
    v.since = now;
    v.read_at = now;
    v.reserve = reserve;
    v.phase = phase_of(o.state, shift_trying{});
    return v;
}

auto with_order(version_shift const& v, rollout_order const& o,
    store_version version, double reserve, time_point now) -> version_shift
{
    auto const reopened = is_final(v.order.state) && !is_final(o.state) &&
                          version.era == v.version.era;
    if (o.to_version != v.order.to_version || reopened)
        return begin_shift(o, version, reserve, now);
    auto next = v;
    next.order = o;
    next.version = version;
    next.read_at = now;
    next.phase = phase_of(o.state, v.phase);
    return next;
}

auto trial_share(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double
{
    auto const n = std::max<std::size_t>(1, instances);
    auto const all =
        trial_fraction * bounds.exposure_share * static_cast<double>(n);
    auto const senders = trial_instances(bounds, instances);
    return rank < senders ? all / static_cast<double>(senders) : 0.0;
}

auto trial_reserve(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double
{
    auto const senders = trial_instances(bounds, instances);
    return rank < senders ? reserve_fraction * bounds.exposure_slack /
                                static_cast<double>(senders)
                          : 0.0;
}

auto choose_side(version_shift const& v, double share) -> side_choice
{
    return std::visit(overloaded{[&](shift_trying const&) -> side_choice
                          { return choose_trial(v, share); },
                          [&](shift_rolled_back const&) -> side_choice {
                              return {version_side::old_only, v};
                          },
                          [&](auto const&) -> side_choice
                          {
                              return {version_side::prefer_new, v};
                          }},
        v.phase);
}

auto with_result(version_shift const& v, std::string const& version,
    std::string const& route, version_outcome outcome) -> version_shift
{
    auto next = v;
    next.outcomes = with_outcome(std::move(next.outcomes), route,
        version == v.order.to_version, outcome);
    return next;
}

auto advanced(version_shift const& v, std::span<route_outcomes const> all,
    time_point now) -> version_shift
{
    auto const open = std::holds_alternative<shift_trying>(v.phase) ||
                      std::holds_alternative<shift_moved>(v.phase);
    if (!open)
        return v;
    auto next = v;
    auto const own = fault_of(v.outcomes);
    auto const fault = own != rollout_fault::none ? own : fault_of(all);
    if (fault != rollout_fault::none)
        next.phase = shift_rolled_back{fault, now, own != rollout_fault::none};
    else if (now >= move_time(v))
        next.phase = shift_moved{};
    return next;
}

auto state_to_report(version_shift const& v,
    std::span<route_outcomes const> all, std::size_t rank, time_point now)
    -> std::optional<order_state>
{
    auto const known = v.order.state;
    if (is_final(known) || now < v.reported_at + report_interval)
        return {};
    return std::visit(
        overloaded{[&](shift_trying const&) -> std::optional<order_state>
            {
                if (known == order_state::waiting &&
                    now >= v.since + delay_of(rank))
                    return order_state::running;
                return {};
            },
            [&](shift_moved const&) -> std::optional<order_state>
            {
                if (now >= complete_time(v) + delay_of(rank) && is_proven(all))
                    return order_state::completed;
                return {};
            },
            [&](shift_rolled_back const& it) -> std::optional<order_state>
            {
                auto const since = std::max(it.since, v.read_at);
                if (it.by_own_outcomes || now >= since + delay_of(rank))
                    return order_state::rolled_back;
                return {};
            },
            [&](shift_completed const&) -> std::optional<order_state>
            {
                // The state was lost with the end of an era of the store.
                if (now >= v.read_at + delay_of(rank))
                    return order_state::completed;
                return {};
            }},
        v.phase);
}

auto matches_side(version_shift const& v, version_side side,
    std::string const& version) -> bool
{
    switch (side)
    {
    case version_side::old_only:
        return version != v.order.to_version;
    case version_side::prefer_new:
        return version == v.order.to_version;
    case version_side::any:
        break;
    }
    return true;
}

auto name_of(shift_phase const& p) -> char const*
{
    return std::visit(overloaded{[](shift_trying const&) { return "trying"; },
                          [](shift_moved const&) { return "moved"; },
                          [](shift_completed const&) { return "done"; },
                          [](shift_rolled_back const&)
                          {
                              return "undone";
                          }},
        p);
}

} // namespace knapweedstream::dispatch
