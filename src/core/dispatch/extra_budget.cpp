#include "core/dispatch/extra_budget.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace knapweedstream::dispatch
{

namespace
{

/// Used part of the bound; the rest covers rounding, first requests counted
/// from shortly before a span, and claims whose window has not passed.
constexpr auto used_fraction = 0.9;
/// The same of a claim until its window has passed.
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

/// The fixed part of the budget that a claim gives.
auto share_of(dispatch_bounds const& bounds, std::uint32_t claim) -> double
{
    return static_cast<double>(bounds.retry_budget_extra) * claim /
           whole_budget;
}

/// The offset at which an instance rounds that holds a claim.
auto rounding_of(
    dispatch_bounds const& bounds, std::uint32_t claim, double place) -> double
{
    // Each instance deviates by half a request at most.
    constexpr auto largest_deviation = 0.5;
    constexpr auto deviations = 3;
    if (claim == 0)
        return 0;
    auto const n = static_cast<double>(whole_budget) / claim;
    auto const unused = (1 - used_fraction) * bounds.retry_budget_extra;
    return unused < deviations * largest_deviation * std::sqrt(n) ? 0 : place;
}

} // namespace

auto terms_of(dispatch_bounds const& bounds, budget_claim const& claim,
    bool late, double place, time_point now) -> budget_terms
{
    auto const usable = usable_claim(claim, now);
    auto const coming =
        starting_fraction * share_of(bounds, coming_claim(claim, now));
    if (late && has_inherited(claim, now))
        return {used_fraction * bounds.retry_budget_ratio, coming, 0};
    return {used_fraction * bounds.retry_budget_ratio,
        std::max(used_fraction * share_of(bounds, usable), coming),
        rounding_of(bounds, usable, place)};
}

auto with_first(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget
{
    auto next = advanced_to(b, slot_of(bounds, now));
    ++next.slots[index_of(next, next.newest)].first;
    return next;
}

auto with_extra(extra_budget const& b) -> extra_budget
{
    auto next = b;
    ++next.unsettled;
    return next;
}

auto with_settled(extra_budget const& b, dispatch_bounds const& bounds,
    time_point now) -> extra_budget
{
    auto next = advanced_to(b, slot_of(bounds, now));
    next.unsettled -= next.unsettled > 0 ? 1 : 0;
    ++next.slots[index_of(next, next.newest)].extra;
    return next;
}

auto with_window_changed(extra_budget const& b, dispatch_bounds const& changed,
    time_point now) -> extra_budget
{
    auto next = extra_budget{};
    next.unsettled = b.unsettled;
    next.newest = slot_of(changed, now);
    auto& present = next.slots[index_of(next, next.newest)];
    for (auto const& it : b.slots)
        present.extra += it.extra;
    return next;
}

auto extra_left(extra_budget const& b, dispatch_bounds const& bounds,
    budget_terms const& terms, time_point now) -> double
{
    auto const present = advanced_to(b, slot_of(bounds, now));
    auto const at = [&](std::size_t age) -> sent_counts const&
    {
        return present.slots[index_of(
            present, present.newest - static_cast<std::int64_t>(age))];
    };
    auto first = static_cast<double>(at(0).first);
    auto extra = static_cast<double>(b.unsettled);
    auto least = std::numeric_limits<double>::max();
    for (auto age = std::size_t{0}; age <= window_slots; ++age)
    { // The span that begins in the slot of this age.
        first += at(age + 1).first;
        extra += at(age).extra;
        least = std::min(least, terms.ratio * first + terms.share - extra);
    }
    return least;
}

auto allows_extra(budget_terms const& terms, double left, urgency u) -> bool
{
    return left + terms.rounding >= 1 + reserve(terms.share, u);
}

} // namespace knapweedstream::dispatch
