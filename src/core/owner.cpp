#include "core/owner.hpp"

#include "core/deadly_request.hpp"
#include "core/leaf.hpp"
#include "core/owner_parts.hpp"
#include "core/rollout_driver.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Retries a part after an attempt without a result, unless another attempt of
/// it is in flight. Fails the part if it may not be retried. A request that was
/// not executed may be retried even if the retry budget is empty.
auto retry(node_state& s, attempt const& a, bool not_run, shard_failure reason,
    time_point now, commands& out) -> void
{
    auto const& e = s.sub_queries.at(a.part.sub);
    auto const& p = e.parts[a.part.index];
    if (running_count(p) > 0)
        return;
    auto const it = s.services.find(e.value.request.service);
    auto const allowed = it != s.services.end() && s.init.policy.retries &&
                         p.attempts < s.init.limits.max_attempts_per_shard &&
                         (withdraw_retry_token(it->second) || not_run);
    if (!allowed)
        return fail_part(s, a.part, reason, now, out);
    dispatch_or_queue(s, a.part, now, out);
}

/// Handles the loss of a target during an attempt. Only the primary owner
/// retries; any other owner reports the lost target to the entry instance.
auto retry_lost(node_state& s, attempt const& a, time_point now, commands& out)
    -> void
{
    auto const& q = s.sub_queries.at(a.part.sub).value.request;
    auto const* shard = find_shard(
        s, q.service, s.sub_queries.at(a.part.sub).parts[a.part.index].shard);
    if (is_banned(s, q.request_fingerprint, now))
        fail_part(s, a.part, shard_failure::refused, now, out);
    else if (shard != nullptr && shard->share.primary)
        retry(s, a, true, shard_failure::failed, now, out);
    else
    {
        s.sub_queries.at(a.part.sub).value.pending.lost = {a.target, a.boot};
        fail_part(s, a.part, shard_failure::suspected, now, out);
    }
}

/// Adds rows to the answer; retries if they are of another snapshot.
auto accept_rows(node_state& s, attempt const& a, shard_rows const& rows,
    time_point now, commands& out) -> void
{
    auto& e = s.sub_queries.at(a.part.sub);
    if (rows.at != e.value.request.at)
    {
        ++s.stats.stale_answers;
        return retry(s, a, false, shard_failure::snapshot, now, out);
    }
    mark_known_safe(s, a.print);
    e.value.pending.answered.push_back(rows);
    end_part(s, a.part, e, now, out);
}

} // namespace

auto on_sub_query(node_state& s, instance_id from, sub_query const& q,
    time_point now, commands& out) -> void
{
    auto const key = sub_key{from, q.id};
    auto const [it, fresh] = s.sub_queries.try_emplace(key);
    auto& e = it->second;
    if (fresh)
    {
        e.value.request = q;
        e.value.deadline = now + q.time_left;
        e.value.pending.id = q.id;
        auto const service = s.services.find(q.service);
        if (service != s.services.end())
            e.value.version = choose_version_for(service->second, q.id);
        arm(s, e.value.deadline, sub_due{key});
    }
    auto const first = static_cast<std::uint32_t>(e.parts.size());
    for (auto const id : q.shards)
    {
        auto p = part{};
        p.shard = id;
        e.parts.push_back(p);
        ++e.value.open_parts;
    }
    if (q.suspected)
        on_reported_loss(s, q.request_fingerprint, q.lost, now, out);
    auto const banned = is_banned(s, q.request_fingerprint, now);
    auto const last = static_cast<std::uint32_t>(e.parts.size());
    for (auto i = first; i < last; ++i)
        if (banned)
            fail_part(s, {key, i}, shard_failure::refused, now, out);
        else
            dispatch_or_queue(s, {key, i}, now, out);
}

auto on_sub_cancel(node_state& s, instance_id from, sub_cancel const& m,
    time_point now, commands& out) -> void
{
    auto const it = s.sub_queries.find({from, m.id});
    if (it == s.sub_queries.end())
        return;
    for (auto const& p : it->second.parts)
        for (auto const id : p.running)
            cancel_attempt(s, id, now, out);
    s.sub_queries.erase(it);
}

auto on_attempt_end(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void
{
    auto* p = find_part(s, a.part);
    if (p == nullptr || p->state == part_state::ended)
        return;
    *p = without_attempt(*p, a.id);
    std::visit(overloaded{[&](ended_rows const& it)
                   { accept_rows(s, a, it.rows, now, out); },
                   [&](ended_not_run const&)
                   { retry(s, a, true, shard_failure::no_replica, now, out); },
                   [&](ended_wrong_snapshot const&)
                   { retry(s, a, true, shard_failure::snapshot, now, out); },
                   [&](ended_cancelled const&)
                   { retry(s, a, true, shard_failure::deadline, now, out); },
                   [&](ended_lost const&) { retry_lost(s, a, now, out); },
                   [&](auto const&)
                   {
                       retry(s, a, false, shard_failure::failed, now, out);
                   }},
        end);
}

auto on_hedge_due(
    node_state& s, hedge_due const& e, time_point now, commands& out) -> void
{
    auto const it = s.sub_queries.find(e.sub);
    if (it == s.sub_queries.end())
        return;
    auto& owned = it->second;
    auto const& q = owned.value.request;
    auto const service = s.services.find(q.service);
    owned.hedge_armed = false;
    if (service == s.services.end() || is_banned(s, q.request_fingerprint, now))
        return;
    auto const delay = hedge_delay(service->second, owned.value.deadline, now);
    auto const half_time = owned.value.deadline - q.time_left / 2;
    auto next = time_point::max();
    for (std::uint32_t i = 0; i < owned.parts.size(); ++i)
    {
        auto const& p = owned.parts[i];
        if (!may_hedge(s, p))
            continue;
        auto const due = sent_at(s, p) + delay;
        if (now < due)
            next = std::min(next, due);
        else if (!hedge(s, {e.sub, i}, now >= half_time, now, out))
            next = std::min(next, std::max(half_time, now + delay));
    }
    if (next < owned.value.deadline)
        arm_hedge(s, e.sub, next);
}

auto on_sub_due(node_state& s, sub_due const& e, time_point now, commands& out)
    -> void
{
    auto const it = s.sub_queries.find(e.sub);
    if (it == s.sub_queries.end())
        return;
    for (std::uint32_t i = 0; i < it->second.parts.size(); ++i)
    {
        auto const queued = it->second.parts[i].state == part_state::queued;
        auto const reason =
            queued ? shard_failure::overload : shard_failure::deadline;
        fail_part(s, {e.sub, i}, reason, now, out);
    }
}

auto dispatch_queued(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool
{
    auto const* p = find_part(s, key);
    if (p == nullptr || p->state != part_state::queued)
        return true;
    auto const print =
        s.sub_queries.at(key.sub).value.request.request_fingerprint;
    if (is_banned(s, print, now))
    {
        fail_part(s, key, shard_failure::refused, now, out);
        return true;
    }
    return dispatch_part(s, key, now, out);
}

auto is_suspected_part(node_state const& s, part_key const& key) -> bool
{
    auto const it = s.sub_queries.find(key.sub);
    return it != s.sub_queries.end() &&
           is_suspected(s, it->second.value.request.request_fingerprint);
}

auto prune_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void
{
    auto waiting = std::deque<part_key>{};
    waiting.swap(shard.queue);
    for (auto const& key : waiting)
    {
        auto const* p = find_part(s, key);
        if (p == nullptr || p->state != part_state::queued)
            continue;
        auto const at = s.sub_queries.at(key.sub).value.request.at;
        if (auto const reason = unservable_reason(s, shard, at, now))
            fail_part(s, key, *reason, now, out);
        else
            shard.queue.push_back(key);
    }
    serve_queue(s, shard, now, out);
}

auto flush_answers(node_state& s) -> void
{
    auto ready = std::vector<sub_key>{};
    ready.swap(s.to_flush);
    for (auto const& key : ready)
    {
        auto const it = s.sub_queries.find(key);
        if (it == s.sub_queries.end())
            continue;
        auto& e = it->second;
        e.flush_queued = false;
        auto answer = sub_answer{e.value.request.id, {}, {}, {}};
        std::swap(answer, e.value.pending);
        e.value.pending.id = answer.id;
        auto const done = e.value.open_parts == 0;
        if (done)
            s.sub_queries.erase(it);
        post(s, key.entry, std::move(answer));
    }
}

} // namespace knapweedstream
