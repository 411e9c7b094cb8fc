/// Division of the fixed part of the retry budget among the instances, by
/// claims that each states in its record in the store.
///
/// An instance uses no more than its record claims, and no more than the whole
/// less the claims of all others in a list that was begun after its own claim
/// had been stored. Of two instances the one whose list is later sees the claim
/// of the other, so that what is used never adds up to more than the whole,
/// whatever the instances know of each other. The store may lose records when
/// it comes back from an older copy: a claim that is not listed any more, or is
/// smaller in a later era, counts on for `claim_hold`, and its owner stops
/// using it sooner, once it has not been listed for `claim_lease`.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_BUDGET_CLAIM_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_BUDGET_CLAIM_HPP

#include <knapweedstream/registration.hpp>
#include <knapweedstream/store_version.hpp>
#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace knapweedstream::dispatch
{

/// How long a claim may be used without being listed again.
constexpr auto claim_lease = milliseconds{40'000};
/// How long a claim counts from when it is listed no more: the lease and the
/// age of a stale list.
constexpr auto claim_hold = milliseconds{50'000};

/// How long a target that is silent may still read what was sent to it.
constexpr auto unread_hold = milliseconds{60'000};

/// Claim of another instance.
struct listed_claim
{
    std::uint32_t claim = 0; ///< Out of `whole_budget`.
    std::uint64_t era = 0;   ///< Of the list that held it.
    /// When a list first did not hold it; `max()`: the last one did.
    time_point gone_since = time_point::max();

    auto operator<=>(listed_claim const&) const = default;
};

/// This instance's record as the store is known to hold it.
struct stored_claim
{
    std::uint32_t claim = 0; ///< Out of `whole_budget`.
    store_version version;

    auto operator<=>(stored_claim const&) const = default;
};

/// What a complete list of the instances says.
struct claim_list
{
    std::span<instance_record const> others;
    std::optional<stored_claim> own; ///< Empty: this instance is not listed.
    std::uint64_t era = 0;
    time_point begun;   ///< When the list was called.
    bool fresh = false; ///< The list was not stale.
};

/// Claims of the instances, and what this one may use.
struct budget_claim
{
    std::map<std::string, listed_claim> others;
    /// What this instance's record is to state, out of `whole_budget`.
    std::uint32_t claimed = 0;
    std::optional<stored_claim> stored; ///< What it states.
    time_point stored_at;               ///< When that became known.
    /// What may be used until `next_from`, and from then on.
    std::uint32_t used = 0;
    std::uint32_t next = 0;
    time_point next_from;
    time_point renewed_at; ///< Begin of the last list that held the claim.
    /// Until then silent targets may read what the process before has sent,
    /// whose claim this one has.
    time_point inherited_until;
    /// The store has lost the claim, which has not been confirmed since.
    bool lost = false;
    bool listed = false;      ///< A complete list was read.
    bool needs_fresh = false; ///< The next list must not be stale.
    bool needs_list = false;  ///< The next list is needed soon.

    auto operator<=>(budget_claim const&) const = default;
};

/// Number of instances among which the budget is divided; 0: not known yet.
auto claimants(budget_claim const& c) -> std::size_t;

/// The claims after the store has confirmed a write of this instance's record.
auto with_stored(budget_claim const& c, stored_claim const& s, time_point now)
    -> budget_claim;

/// The claims after a complete list. What it allows beyond the present use
/// counts after a window, since who had it before may just have spent it.
///
/// @param[in] window Budget window.
auto with_list(budget_claim const& c, claim_list const& l, duration window,
    time_point now) -> budget_claim;

/// True if targets may still read what a process before this one has sent.
auto has_inherited(budget_claim const& c, time_point now) -> bool;

/// What may be used now, out of `whole_budget`; 0 after the lease.
auto usable_claim(budget_claim const& c, time_point now) -> std::uint32_t;

/// What may be used once its window has passed; at least `usable_claim`.
auto coming_claim(budget_claim const& c, time_point now) -> std::uint32_t;

} // namespace knapweedstream::dispatch

#endif
