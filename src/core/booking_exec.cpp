#include "core/booking_exec.hpp"

#include "core/booking_commit.hpp"
#include "core/claims.hpp"
#include "core/leaf.hpp"
#include "core/rollout_driver.hpp"
#include "core/routing.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Attempts of a booking. Each but the last must have ended "not run".
constexpr auto max_booking_attempts = 4u;
/// Wait for an answer past the deadline, before the connection is closed.
constexpr auto late_answer_grace = seconds{1};

/// Dispatches a booking whose claim is stored. The claim ensures that no other
/// instance does.
auto start_dispatch(
    node_state& s, claim_token token, time_point now, commands& out) -> void
{
    auto& e = s.executions.at(token);
    if (e.answered || now >= e.deadline)
        return answer_and_record(s, token, booking_not_run{no_target{}}, out);
    e.state = exec_state::dispatching;
    auto* shard = find_shard(s, e.bucket.service, e.bucket.shard);
    if (shard == nullptr)
        return answer_and_record(s, token, booking_not_run{no_target{}}, out);
    if (!dispatch_booking(s, *shard, token, now, out))
        shard->bookings.push_back(token);
}

/// Compares the waiting bookings with the stored claims: dispatches those whose
/// claim is stored and drops those whose outcome is stored.
auto apply_stored_claims(
    node_state& s, claim_bucket id, time_point now, commands& out) -> void
{
    auto& b = s.buckets[id];
    auto waiting = std::vector<claim_token>{};
    waiting.swap(b.waiting);
    auto ready = std::vector<claim_token>{};
    for (auto const token : waiting)
    {
        auto const it = s.executions.find(token);
        if (it == s.executions.end())
            continue;
        auto const* held = find_claim(b.claims, it->second.request.key);
        auto const own = held != nullptr && held->token == token;
        if (own && it->second.state == exec_state::claiming)
            ready.push_back(token);
        else if (own && held->state != claim_state::claimed)
            s.executions.erase(it);
        else
            b.waiting.push_back(token);
    }
    for (auto const token : ready)
        start_dispatch(s, token, now, out);
    commit_waiting(s, id, out);
}

/// Time at which a booking without a stored claim is given up, early enough for
/// "not run" to reach its caller before the deadline.
auto claim_deadline(node_state const& s, duration left, time_point now)
    -> time_point
{
    constexpr auto margin_divisor = 4; ///< At most a quarter of the time left.
    auto const margin = duration{s.init.limits.claim_margin};
    return now + left - std::min(margin, left / margin_divisor);
}

} // namespace

auto on_booking_forward(node_state& s, instance_id from,
    booking_forward const& m, time_point now, commands& out) -> void
{
    auto const& r = m.request;
    auto const customer = id_of<customer_id>(r.customer);
    auto const service = service_of(customer, r.service);
    auto const it = s.services.find(service);
    if (it == s.services.end())
    {
        post(s, from,
            booking_result{m.id, booking_not_run{unknown_service{r.service}}});
        return;
    }
    auto const n = it->second.shards.size();
    auto e = booking_execution{};
    e.entry = from;
    e.id = m.id;
    e.request = r;
    e.bucket = {service, shard_of_item(r.item, n)};
    e.content = content_hash(r);
    e.token = fresh_id<claim_token>(s);
    e.deadline = now + m.time_left;
    e.wall_s = m.wall_s;
    s.executions.emplace(e.token, e);
    s.buckets[e.bucket].waiting.push_back(e.token);
    arm(s, claim_deadline(s, m.time_left, now), exec_due{e.token});
    arm(s, e.deadline, exec_due{e.token});
    commit_waiting(s, e.bucket, out);
}

auto dispatch_booking(node_state& s, shard_entry& shard, claim_token token,
    time_point now, commands& out) -> bool
{
    auto const it = s.executions.find(token);
    if (it == s.executions.end() || it->second.state != exec_state::dispatching)
        return true;
    auto const service = s.services.find(it->second.bucket.service);
    if (service == s.services.end())
        return false;
    auto const choice = choose_version_for(
        service->second, run_id{it->second.id, it->second.attempts});
    auto const& policy = service->second.info.rollout;
    auto* t = choose_target(s, shard, now,
        [&](target const& one)
        { return matches_version(one, policy, choice); });
    if (t == nullptr)
        return false;
    auto wanted = attempt{};
    wanted.kind = attempt_kind::booking;
    wanted.token = token;
    wanted.print = it->second.content;
    auto const a = start_attempt(s, *t, wanted, now);
    auto& e = it->second;
    e.state = exec_state::sent;
    ++e.attempts;
    out.push_back(leaf_book{a.connection, a.id, e.bucket.shard,
        e.deadline - now, e.request.key, e.request.text});
    arm(s, e.deadline + late_answer_grace, cancel_due{a.id});
    return true;
}

auto on_booking_end(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void
{
    auto const it = s.executions.find(a.token);
    if (it == s.executions.end() || it->second.state != exec_state::sent)
        return;
    auto const not_run = [&]
    {
        auto const more = it->second.attempts < max_booking_attempts;
        if (!more || now >= it->second.deadline || it->second.answered)
            return answer_and_record(
                s, a.token, booking_not_run{no_target{}}, out);
        it->second.state = exec_state::dispatching;
        auto* shard =
            find_shard(s, it->second.bucket.service, it->second.bucket.shard);
        if (shard != nullptr)
            shard->bookings.push_back(a.token);
    };
    std::visit(
        overloaded{[&](ended_booked const& r)
            { answer_and_record(s, a.token, booking_done{r.reference}, out); },
            [&](ended_not_run const&) { not_run(); },
            [&](auto const&)
            {
                answer_and_forget(s, a.token, booking_unknown{});
            }},
        end);
}

auto on_exec_due(
    node_state& s, exec_due const& e, time_point now, commands& out) -> void
{
    auto const it = s.executions.find(e.token);
    if (it == s.executions.end())
        return;
    auto const claiming = it->second.state == exec_state::claiming;
    if (!claiming && now < it->second.deadline)
        return;
    switch (it->second.state)
    {
    case exec_state::claiming:
        if (claimed_by_other(s, it->second))
            return answer_and_forget(s, e.token, booking_unknown{});
        if (!it->second.claim_sent)
            return answer_and_forget(
                s, e.token, booking_not_run{platform_unavailable{}});
        return answer_and_record(
            s, e.token, booking_not_run{platform_unavailable{}}, out);
    case exec_state::dispatching:
        return answer_and_record(s, e.token, booking_not_run{no_target{}}, out);
    case exec_state::sent:
        return answer_entry(s, e.token, booking_unknown{});
    case exec_state::recording:
        return;
    }
}

auto on_bucket_retry_due(
    node_state& s, bucket_retry_due const& e, commands& out) -> void
{
    commit_waiting(s, e.bucket, out);
}

auto on_claims_stored(node_state& s, claims_stored const& e, time_point now,
    commands& out) -> void
{
    if (e.version.era < s.platform_era)
        return on_claims_failed(s, {e.bucket}, now);
    auto& b = s.buckets[e.bucket];
    b.in_progress = false;
    b.loaded = true;
    if (b.version.era < e.version.era)
        b.to_restore = b.claims;
    b.version = e.version;
    b.claims = with_lost_claims(e.claims, b.to_restore);
    b.restoring = b.claims != e.claims;
    apply_stored_claims(s, e.bucket, now, out);
}

auto on_claims_written(node_state& s, claims_written const& e, time_point now,
    commands& out) -> void
{
    if (e.version.era < s.platform_era)
        return on_claims_failed(s, {e.bucket}, now);
    auto& b = s.buckets[e.bucket];
    b.in_progress = false;
    b.loaded = true;
    b.version = e.version;
    b.claims = std::move(b.writing);
    b.writing.clear();
    b.to_restore.clear();
    b.restoring = false;
    apply_stored_claims(s, e.bucket, now, out);
}

auto on_claims_failed(node_state& s, claims_failed const& e, time_point now)
    -> void
{
    auto& b = s.buckets[e.bucket];
    b.in_progress = false;
    b.loaded = false;
    arm(s, now + s.init.limits.claim_retry, bucket_retry_due{e.bucket});
}

} // namespace knapweedstream
