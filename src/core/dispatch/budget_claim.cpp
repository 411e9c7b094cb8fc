#include "core/dispatch/budget_claim.hpp"

#include <algorithm>
#include <string_view>

namespace knapweedstream::dispatch
{

namespace
{

/// A claim that is larger than an equal share by less than this is kept.
constexpr auto excess_kept = 0.05;
/// The same for one that is smaller, and for use that is less than the claim.
constexpr auto lack_kept = 0.1;

auto equal_share(budget_claim const& c) -> std::uint32_t
{
    return whole_budget / static_cast<std::uint32_t>(c.others.size() + 1);
}

/// What all other claims leave.
auto left_by_others(budget_claim const& c) -> std::uint32_t
{
    auto sum = std::uint64_t{0};
    for (auto const& [name, it] : c.others)
        sum += it.claim;
    return whole_budget - static_cast<std::uint32_t>(
                              std::min<std::uint64_t>(whole_budget, sum));
}

/// True if the store has lost what raised a claim: it is smaller than in an
/// earlier era, and its owner may not know it yet.
auto is_rolled_back(
    listed_claim const& known, std::uint32_t claim, std::uint64_t era) -> bool
{
    return era > known.era && claim < known.claim;
}

/// Marks the claims that a list does not confirm, and drops those that have
/// been gone for long.
auto with_gone(budget_claim c, claim_list const& l, time_point now)
    -> budget_claim
{
    auto listed = std::map<std::string_view, std::uint32_t>{};
    for (auto const& it : l.others)
        listed[it.name] = it.budget_claim;
    for (auto& [name, it] : c.others)
    {
        auto const found = listed.find(name);
        if (found == listed.end() || is_rolled_back(it, found->second, l.era))
            it.gone_since = std::min(it.gone_since, now);
    }
    std::erase_if(c.others, [&](auto const& it)
        { return now - it.second.gone_since >= duration{claim_hold}; });
    return c;
}

auto with_others(budget_claim c, claim_list const& l, time_point now)
    -> budget_claim
{
    c = with_gone(std::move(c), l, now);
    for (auto const& it : l.others)
    {
        auto const claim = std::min(it.budget_claim, whole_budget);
        auto const known = c.others.find(it.name);
        if (known == c.others.end() ||
            !is_rolled_back(known->second, claim, l.era))
            c.others[it.name] = {claim, l.era, time_point::max()};
    }
    return c;
}

/// The claims after the use is limited to `most`.
auto limited(budget_claim c, std::uint32_t most) -> budget_claim
{
    c.used = std::min(c.used, most);
    c.next = std::min(c.next, most);
    return c;
}

/// The claims after a list that shows what the others leave of this one.
auto with_allowed(budget_claim c, std::uint32_t allowed, time_point begun,
    duration window, time_point now) -> budget_claim
{
    if (now >= c.next_from)
        c.used = c.next;
    c = limited(std::move(c), allowed);
    if (allowed > c.next && now >= c.next_from)
    {
        c.next = allowed;
        c.next_from = begun + window;
    }
    return c;
}

/// Takes note of this instance's record. What the store holds of the claim is
/// all that may be used.
auto with_own(budget_claim c, claim_list const& l, time_point now)
    -> budget_claim
{
    if (!l.own)
    {
        c.lost = c.lost || c.stored.has_value();
        return c;
    }
    if (!c.stored && c.claimed == 0 && l.own->claim != 0)
    { // Of the process before.
        c.claimed = l.own->claim;
        c.inherited_until = now + duration{unread_hold};
    }
    if (c.stored && l.own->version < c.stored->version)
        return c;
    if (c.stored != l.own)
        c = with_stored(c, *l.own, now);
    return limited(std::move(c), l.own->claim);
}

/// True if the list was begun when the store was known to hold the claim.
auto confirms(budget_claim const& c, claim_list const& l) -> bool
{
    return l.fresh && c.stored == l.own && c.stored_at <= l.begun;
}

/// True if the fleet has hardly grown since the list before. One that starts
/// grows with each list; where some claim already, it has started.
auto has_settled(budget_claim const& before, budget_claim const& c) -> bool
{
    constexpr auto growth = 0.05;
    auto const known = static_cast<double>(before.others.size());
    return before.listed
               ? static_cast<double>(c.others.size()) <= known * (1 + growth)
               : left_by_others(c) < whole_budget;
}

/// Brings the claim nearer to an equal share. A larger one must be confirmed
/// before it is used.
auto with_new_claim(budget_claim c, bool settled) -> budget_claim
{
    auto const equal = equal_share(c);
    auto const most = std::min(equal, left_by_others(c));
    if (c.claimed > equal * (1 + excess_kept))
    {
        c.claimed = equal;
        c = limited(std::move(c), equal);
    }
    else if (settled && most > c.claimed && c.claimed < equal * (1 - lack_kept))
        c.claimed = most;
    return c;
}

} // namespace

auto claimants(budget_claim const& c) -> std::size_t
{
    return c.listed ? c.others.size() + 1 : 0;
}

auto with_stored(budget_claim const& c, stored_claim const& s, time_point now)
    -> budget_claim
{
    auto next = c;
    next.stored = s;
    next.stored_at = now;
    return next;
}

auto with_list(budget_claim const& c, claim_list const& l, duration window,
    time_point now) -> budget_claim
{
    auto next = with_others(c, l, now);
    next.listed = true;
    if (now - c.renewed_at >= duration{claim_lease})
        next = limited(std::move(next), 0);
    next = with_own(std::move(next), l, now);
    if (confirms(c, l))
    {
        auto const allowed = std::min(l.own->claim, left_by_others(next));
        next = with_allowed(std::move(next), allowed, l.begun, window, now);
        next.lost = false;
    }
    if (l.own && !next.lost)
        next.renewed_at = l.begun;
    auto const settled = has_settled(c, next);
    next = with_new_claim(std::move(next), settled);
    next.needs_fresh =
        std::max(next.used, next.next) < next.claimed * (1 - lack_kept);
    next.needs_list = c.listed && !settled;
    return next;
}

auto has_inherited(budget_claim const& c, time_point now) -> bool
{
    return !c.listed || now < c.inherited_until;
}

auto usable_claim(budget_claim const& c, time_point now) -> std::uint32_t
{
    if (now - c.renewed_at >= duration{claim_lease})
        return 0;
    return now >= c.next_from ? c.next : c.used;
}

auto coming_claim(budget_claim const& c, time_point now) -> std::uint32_t
{
    return now - c.renewed_at >= duration{claim_lease}
               ? 0
               : std::max(c.used, c.next);
}

} // namespace knapweedstream::dispatch
