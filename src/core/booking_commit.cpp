#include "core/booking_commit.hpp"

#include "core/claims.hpp"
#include "core/routing.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Time over which buckets are read again in a new era of the platform.
constexpr auto reload_spread = duration{seconds{1}};

/// Answers a booking whose key another booking has claimed.
///
/// @returns False if that booking is still in progress at this executor.
auto answer_from_claim(
    node_state& s, booking_execution const& e, claim const& held) -> bool
{
    if (held.content != e.content)
        answer_and_forget(s, e.token, booking_not_run{key_reused{}});
    else if (held.state == claim_state::done)
        answer_and_forget(s, e.token, booking_done{held.reference});
    else if (s.executions.contains(held.token))
        return false;
    else
        answer_and_forget(s, e.token, booking_unknown{});
    return true;
}

/// Adds the claim of a booking, or answers it from another booking's claim on
/// the same key.
auto try_claim(node_state& s, booking_execution const& e,
    std::vector<claim>& claims) -> commit_step
{
    auto* held = find_claim(claims, e.request.key);
    if (held != nullptr && held->token == e.token)
        return commit_step::writes;
    if (held != nullptr && held->state != claim_state::not_run)
        return answer_from_claim(s, e, *held) ? commit_step::finished
                                              : commit_step::waits;
    if (held != nullptr)
        *held = new_claim(e);
    else if (claims.size() < s.init.limits.max_claims_per_bucket)
        claims.push_back(new_claim(e));
    else
    {
        answer_and_forget(s, e.token, booking_not_run{over_capacity{}});
        return commit_step::finished;
    }
    return commit_step::writes;
}

/// Drops claims older than `claim_expiry`, unless the time is unknown (0).
auto drop_expired(node_state const& s, std::vector<claim>& claims,
    std::int64_t wall_s) -> void
{
    auto const oldest = wall_s - s.init.limits.claim_expiry.count();
    if (wall_s > 0)
        std::erase_if(
            claims, [&](claim const& it) { return it.claimed_at_s < oldest; });
}

/// Latest wall clock of the waiting bookings, in seconds since 1970.
auto latest_wall_time(node_state const& s, bucket_entry const& b)
    -> std::int64_t
{
    auto wall = std::int64_t{0};
    for (auto const token : b.waiting)
    {
        auto const it = s.executions.find(token);
        if (it != s.executions.end())
            wall = std::max(wall, it->second.wall_s);
    }
    return wall;
}

/// Applies the next step of a booking to the claims that are to be written.
auto advance_booking(
    node_state& s, claim_token token, std::vector<claim>& claims) -> commit_step
{
    auto const it = s.executions.find(token);
    if (it == s.executions.end())
        return commit_step::finished;
    auto const e = it->second;
    if (e.state == exec_state::claiming)
        return try_claim(s, e, claims);
    if (e.state != exec_state::recording)
        return commit_step::finished;
    auto const result = record_outcome(e, claims);
    if (result == commit_step::finished)
        s.executions.erase(token);
    return result;
}

/// Marks the bookings whose claims are part of a write.
auto mark_claims_sent(node_state& s, std::vector<claim> const& claims) -> void
{
    for (auto const& it : claims)
    {
        auto const e = s.executions.find(it.token);
        if (e != s.executions.end())
            e->second.claim_sent = true;
    }
}

} // namespace

auto answer_entry(node_state& s, claim_token token, booking_answer const& a)
    -> void
{
    auto& e = s.executions.at(token);
    if (e.answered)
        return;
    e.answered = true;
    post(s, e.entry, booking_result{e.id, a});
}

auto answer_and_forget(
    node_state& s, claim_token token, booking_answer const& a) -> void
{
    answer_entry(s, token, a);
    s.executions.erase(token);
}

auto claimed_by_other(node_state& s, booking_execution const& e) -> bool
{
    auto& b = s.buckets[e.bucket];
    auto const* held = find_claim(b.claims, e.request.key);
    return held != nullptr && held->token != e.token &&
           held->state == claim_state::claimed;
}

auto commit_waiting(node_state& s, claim_bucket id, commands& out) -> void
{
    auto& b = s.buckets[id];
    if (b.in_progress || (b.waiting.empty() && !b.restoring))
        return;
    if (!b.loaded)
    {
        b.in_progress = true;
        out.push_back(claims_read{id});
        return;
    }
    auto const is_outcome = [&](claim_token it)
    {
        auto const e = s.executions.find(it);
        return e != s.executions.end() &&
               e->second.state == exec_state::recording;
    };
    std::stable_partition(b.waiting.begin(), b.waiting.end(), is_outcome);
    auto claims = b.claims;
    drop_expired(s, claims, latest_wall_time(s, b));
    auto waiting = std::vector<claim_token>{};
    auto writes = 0u;
    for (auto const token : b.waiting)
    {
        auto const full = writes >= s.init.limits.claims_per_write;
        auto const result =
            full ? commit_step::waits : advance_booking(s, token, claims);
        writes += result == commit_step::writes ? 1 : 0;
        if (result != commit_step::finished)
            waiting.push_back(token);
    }
    b.waiting = waiting;
    if (writes == 0 && !b.restoring)
        return;
    mark_claims_sent(s, claims);
    b.in_progress = true;
    b.writing = claims;
    ++s.stats.claim_writes;
    out.push_back(claims_write{id, b.version, std::move(claims)});
}

auto answer_and_record(node_state& s, claim_token token,
    booking_answer const& a, commands& out) -> void
{
    answer_entry(s, token, a);
    auto& e = s.executions.at(token);
    e.outcome = a;
    e.state = exec_state::recording;
    auto const bucket = e.bucket;
    auto& waiting = s.buckets[bucket].waiting;
    if (std::find(waiting.begin(), waiting.end(), token) == waiting.end())
        waiting.push_back(token);
    commit_waiting(s, bucket, out);
}

auto reload_buckets(node_state& s, time_point now) -> void
{
    for (auto& [id, b] : s.buckets)
    {
        b.loaded = false;
        b.restoring = b.restoring || !b.claims.empty();
        auto const delay = draw_below(
            s.random, static_cast<std::uint64_t>(reload_spread.count()));
        arm(s, now + duration{static_cast<duration::rep>(delay)},
            bucket_retry_due{id});
    }
}

} // namespace knapweedstream
