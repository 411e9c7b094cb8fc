#include "core/claims.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Certainty that a booking ran: no, perhaps, yes.
auto certainty(claim_state it) -> int
{
    switch (it)
    {
    case claim_state::not_run:
        return 0;
    case claim_state::claimed:
        return 1;
    case claim_state::done:
        return 2;
    }
    return 1;
}

/// True if a lost claim replaces the one that the platform has.
auto prevails(claim const& lost, claim const& held) -> bool
{
    if (lost.token == held.token)
        return held.state == claim_state::claimed &&
               lost.state != claim_state::claimed;
    return certainty(lost.state) > certainty(held.state);
}

} // namespace

auto content_hash(booking_request const& r) -> fingerprint
{
    return fingerprint{hash_name(r.text, hash_name(r.item))};
}

auto find_claim(std::vector<claim>& claims, std::string const& key) -> claim*
{
    auto const it = std::find_if(claims.begin(), claims.end(),
        [&](claim const& c) { return c.key == key; });
    return it == claims.end() ? nullptr : &*it;
}

auto new_claim(booking_execution const& e) -> claim
{
    return {
        e.request.key, e.token, e.content, claim_state::claimed, {}, e.wall_s};
}

auto record_outcome(booking_execution const& e, std::vector<claim>& claims)
    -> commit_step
{
    auto* held = find_claim(claims, e.request.key);
    if (held == nullptr || held->token != e.token)
        return commit_step::finished;
    auto next = *held;
    if (auto const* done = std::get_if<booking_done>(&e.outcome))
    {
        next.state = claim_state::done;
        next.reference = done->reference;
    }
    else
        next.state = claim_state::not_run;
    if (next == *held)
        return commit_step::finished;
    *held = next;
    return commit_step::writes;
}

auto with_lost_claims(std::vector<claim> stored, std::vector<claim> const& lost)
    -> std::vector<claim>
{
    for (auto const& it : lost)
    {
        auto* held = find_claim(stored, it.key);
        if (held == nullptr)
            stored.push_back(it);
        else if (prevails(it, *held))
            *held = it;
    }
    return stored;
}

} // namespace knapweedstream
