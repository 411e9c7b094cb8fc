#include "core/dispatch/extra_budget.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedstream::dispatch
{

namespace
{

/// Used part of the bound; the rest covers instances that disagree about how
/// many instances there are.
constexpr auto used_fraction = 0.9;
/// The same in the first window of a process.
constexpr auto starting_fraction = 0.05;

auto slot_of(dispatch_bounds const& bounds, time_point now) -> std::int64_t
{
    auto const length = duration{bounds.budget_window} / window_slots;
    return now.time_since_epoch() / length;
}

auto index_of(extra_budget const& b, std::int64_t slot) -> std::size_t
{
    return static_cast<std::size_t>(slot) % b.slots.size();
}

/// Moves the window on to end with `slot` and clears the slots it enters.
auto advanced_to(extra_budget const& b, std::int64_t slot) -> extra_budget
{
    auto next = b;
    auto const size = static_cast<std::int64_t>(b.slots.size());
    auto const from = std::max(b.newest + 1, slot - size + 1);
    for (auto i = from; i <= slot; ++i)
        next.slots[index_of(b, i)] = {};
    next.newest = std::max(b.newest, slot);
    return next;
}

/// Part of the bound that a process may use at an age. In its first window the
/// one before it may have spent all that it had.
auto usable_fraction(dispatch_bounds const& bounds, duration age) -> double
{
    return age < duration{bounds.budget_window} ? starting_fraction
                                                : used_fraction;
}

/// Part of the share that is kept for more urgent requests.
auto reserve(double share, urgency u) -> double
{
    constexpr auto reserved_fraction = 0.25;
    constexpr auto optional_fraction = 0.4;
    constexpr auto small_share = 4.0; ///< Too small to reserve part of it.
    auto const kept = reserved_fraction * std::max(0.0, share - small_share);
    switch (u)
    {
    case urgency::needed:
        return 0;
    case urgency::useful:
        return kept;
    case urgency::optional:
        return kept + optional_fraction * std::max(0.0, share - 1);
    }
    return kept;
}

} // namespace

auto budget_share(dispatch_bounds const& bounds, std::size_t instances)
    -> double
{
    auto const n = static_cast<double>(std::max<std::size_t>(1, instances));
    return used_fraction * bounds.retry_budget_extra / n;
}

auto budget_rounding(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double
{
    // Each instance deviates by half a request at most.
    constexpr auto largest_deviation = 0.5;
    constexpr auto deviations = 3;
    auto const n = static_cast<double>(std::max<std::size_t>(1, instances));
    auto const unused = (1 - used_fraction) * bounds.retry_budget_extra;
    if (unused < deviations * largest_deviation * std::sqrt(n))
        return 0;
    return (static_cast<double>(rank) + 0.5) / n;
}

auto with_share(extra_budget const& b, double share, double rounding)
    -> extra_budget
{
    auto next = b;
    next.share = share;
    next.rounding = rounding;
    return next;
}

auto with_usable_share(extra_budget const& b, dispatch_bounds const& bounds,
    time_point started, time_point now) -> extra_budget
{
    auto const usable = usable_fraction(bounds, now - started);
    return with_share(b, b.share * usable / used_fraction, b.rounding);
}

auto with_first(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget
{
    auto next = advanced_to(b, slot_of(bounds, now));
    ++next.slots[index_of(next, next.newest)].first;
    return next;
}

auto with_extra(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget
{
    auto next = advanced_to(b, slot_of(bounds, now));
    ++next.slots[index_of(next, next.newest)].extra;
    return next;
}

auto extra_left(extra_budget const& b, dispatch_bounds const& bounds,
    time_point started, time_point now) -> double
{
    auto const present = advanced_to(b, slot_of(bounds, now));
    auto first = 0.0;
    auto extra = 0.0;
    for (auto const& it : present.slots)
    {
        first += it.first;
        extra += it.extra;
    }
    auto const oldest = index_of(present, present.newest + 1);
    first -= present.slots[oldest].first;
    auto const ratio =
        usable_fraction(bounds, now - started) * bounds.retry_budget_ratio;
    return ratio * first + with_usable_share(b, bounds, started, now).share -
           extra;
}

auto allows_extra(extra_budget const& b, double left, urgency u) -> bool
{
    return left + b.rounding >= 1 + reserve(b.share, u);
}

} // namespace knapweedstream::dispatch
