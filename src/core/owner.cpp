#include "core/owner.hpp"

#include "core/deadly.hpp"
#include "core/leaf.hpp"
#include "core/rollout_driver.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto warm_up_samples = 20u; ///< Before the quantile is trusted.
constexpr auto least_hedge_delay = duration{1'000};

auto find_part(node_state& s, part_key const& key) -> part*
{
    auto const it = s.owned.find(key.sub);
    if (it == s.owned.end() || key.index >= it->second.parts.size())
        return nullptr;
    return &it->second.parts[key.index];
}

auto was_tried(part const& p, target_id id) -> bool
{
    return std::find(p.tried.begin(), p.tried.end(), id) != p.tried.end();
}

auto running_count(part const& p) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(p.running.begin(),
        p.running.end(), [](attempt_id it) { return it != attempt_id{}; }));
}

auto with_attempt(part const& p, attempt const& a) -> part
{
    auto next = p;
    next.state = part_state::running;
    next.tried[next.attempts % next.tried.size()] = a.to;
    ++next.attempts;
    auto const free =
        std::find(next.running.begin(), next.running.end(), attempt_id{});
    if (free != next.running.end())
        *free = a.id;
    return next;
}

auto without_attempt(part const& p, attempt_id id) -> part
{
    auto next = p;
    std::replace(next.running.begin(), next.running.end(), id, attempt_id{});
    return next;
}

auto mark_flush(node_state& s, sub_key const& key, owned_entry& e) -> void
{
    if (e.flush)
        return;
    e.flush = true;
    s.to_flush.push_back(key);
}

auto serves(target const& t, snapshot at) -> bool
{
    return std::find(t.versions.begin(), t.versions.end(), at.index_version) !=
           t.versions.end();
}

/// Ends a part and cancels what still runs for it.
auto end_part(node_state& s, part_key const& key, owned_entry& e,
    time_point now, commands& out) -> void
{
    auto& p = e.parts[key.index];
    for (auto const id : p.running)
        cancel_attempt(s, id, now, out);
    p.state = part_state::ended;
    p.running = {};
    --e.value.open_parts;
    mark_flush(s, key.sub, e);
}

auto fail_part(node_state& s, part_key const& key, shard_failure reason,
    time_point now, commands& out) -> void
{
    auto const it = s.owned.find(key.sub);
    if (it == s.owned.end())
        return;
    auto& e = it->second;
    if (e.parts[key.index].state == part_state::ended)
        return;
    e.value.pending.failed.push_back({e.parts[key.index].shard, reason});
    end_part(s, key, e, now, out);
}

auto hedge_delay(service_entry const& service, time_point deadline,
    time_point now) -> duration
{
    if (service.latency.samples < warm_up_samples)
        return std::max(least_hedge_delay, (deadline - now) / 4);
    auto const us = static_cast<duration::rep>(service.latency.value_us);
    return std::max(least_hedge_delay, duration{us});
}

/// Chooses a replica of the wanted version that was not tried, else any that
/// may serve the part.
auto choose_replica(node_state& s, owned_query const& owned, part const& p,
    shard_entry& shard, bool is_hedge, time_point now) -> target_entry*
{
    auto const& q = owned.request;
    auto const& policy = s.services.at(q.service).info.rollout;
    auto const suspected = is_suspected(s, q.print);
    auto choice = owned.version;
    auto const usable = [&](target const& t)
    {
        return serves(t, q.at) && fits(t, policy, choice) &&
               (!suspected || s.targets.at(t.id).suspect == attempt_id{});
    };
    auto const fresh = [&](target const& t)
    {
        return usable(t) && !was_tried(p, t.id);
    };
    auto const choose = [&]() -> target_entry*
    {
        auto* t = choose_target(s, shard, now, fresh);
        if (t == nullptr && !is_hedge && running_count(p) == 0)
            t = choose_target(s, shard, now, usable);
        return t;
    };
    auto* t = choose();
    if (t == nullptr && choice == version_choice::new_first)
    {
        choice = version_choice::old_only;
        t = choose();
    }
    return t;
}

/// Sends a part to a replica that has room.
auto dispatch(node_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> bool
{
    auto& e = s.owned.at(key.sub);
    auto& q = e.value.request;
    auto& p = e.parts[key.index];
    auto* shard = find_shard(s, q.service, p.shard);
    if (shard == nullptr || !shard->owned)
        return false;
    auto const suspected = is_suspected(s, q.print);
    if (suspected && s.suspicions.at(q.print).running)
        return false;
    auto* t =
        choose_replica(s, e.value, p, *shard, kind == attempt_kind::hedge, now);
    if (t == nullptr)
        return false;
    auto wanted = attempt{};
    wanted.part = key;
    wanted.kind = kind;
    wanted.print = q.print;
    auto const a = start_attempt(s, *t, wanted, now);
    p = with_attempt(p, a);
    if (suspected)
        suspect_started(s, *t, a);
    out.push_back(leaf_search{
        a.over, a.id, p.shard, q.at, e.value.deadline - now, q.text});
    return true;
}

auto pay_extra(service_entry& service) -> bool
{
    auto const left = withdraw(service.budget);
    if (!left)
        return false;
    service.budget = *left;
    return true;
}

/// One hedge timer serves all parts of a sub-query.
auto arm_hedge(node_state& s, sub_key const& key, time_point when) -> void
{
    auto& e = s.owned.at(key);
    if (e.hedge_armed)
        return;
    e.hedge_armed = true;
    arm(s, when, hedge_due{key});
}

/// Sends a second attempt of a part if that costs nobody else.
auto hedge(node_state& s, part_key const& key, bool last_chance, time_point now,
    commands& out) -> bool
{
    auto const& q = s.owned.at(key.sub).value.request;
    auto const& p = s.owned.at(key.sub).parts[key.index];
    auto const* shard = find_shard(s, q.service, p.shard);
    if (shard == nullptr || !shard->queue.empty())
        return false;
    auto& budget = s.services.at(q.service).budget;
    if (!last_chance && budget.tokens < 1)
        return false;
    if (!dispatch(s, key, attempt_kind::hedge, now, out))
        return false;
    budget = withdraw(budget).value_or(budget);
    ++s.stats.hedges;
    return true;
}

/// True if a part may get a second attempt at some time.
auto may_hedge(node_state const& s, part const& p) -> bool
{
    return p.state == part_state::running && running_count(p) == 1 &&
           p.attempts < s.init.limits.max_attempts_per_shard;
}

/// Time the part's running attempt was sent.
auto sent_at(node_state const& s, part const& p) -> time_point
{
    for (auto const id : p.running)
        if (auto const it = s.attempts.find(id); it != s.attempts.end())
            return it->second.sent_at;
    return {};
}

/// Sends the first attempt of a part.
auto dispatch_primary(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool
{
    auto const first = s.owned.at(key.sub).parts[key.index].attempts == 0;
    auto const kind = first ? attempt_kind::primary : attempt_kind::retry;
    if (!dispatch(s, key, kind, now, out))
        return false;
    auto const& e = s.owned.at(key.sub);
    auto& service = s.services.at(e.value.request.service);
    if (first)
        service.budget = deposit(service.budget);
    else
        ++s.stats.retries;
    if (s.init.policy.hedging)
        arm_hedge(
            s, key.sub, now + hedge_delay(service, e.value.deadline, now));
    return true;
}

/// Why no replica of the shard can take a request, now or soon.
///
/// @returns Nothing if one can.
auto hopeless(node_state const& s, shard_entry const& shard, snapshot at,
    time_point now) -> std::optional<shard_failure>
{
    if (!shard.owned)
        return shard_failure::not_owner;
    auto reason = shard_failure::no_replica;
    for (auto const id : shard.replicas)
    {
        auto const& t = s.targets.at(id);
        auto const connected = t.connections > t.opening;
        if (is_out(t.value, now) || t.connections == 0)
            continue;
        if (connected && !serves(t.value, at))
            reason = shard_failure::snapshot;
        else if (limit_of(s, t.value, shard, now) == 0)
            reason = shard_failure::not_owner;
        else
            return std::nullopt;
    }
    return reason;
}

/// True if the queue is so long that the part would be served too late.
auto too_late(node_state const& s, shard_entry const& shard,
    time_point deadline, time_point now) -> bool
{
    auto total = 0.0;
    auto latency = 0.0;
    for (auto const id : shard.replicas)
    {
        auto const& t = s.targets.at(id);
        if (is_out(t.value, now) || t.connections == t.opening)
            continue;
        total += limit_of(s, t.value, shard, now);
        latency = std::max(latency, t.value.latency_us);
    }
    auto const wait = static_cast<double>(shard.queue.size()) * latency /
                      std::max(1.0, total);
    return wait > static_cast<double>((deadline - now).count());
}

/// Sends a part, queues it, or gives it up.
auto place(node_state& s, part_key const& key, time_point now, commands& out)
    -> void
{
    auto const& e = s.owned.at(key.sub);
    auto const& p = e.parts[key.index];
    auto const at = e.value.request.at;
    auto* shard = find_shard(s, e.value.request.service, p.shard);
    if (shard == nullptr)
        return fail_part(s, key, shard_failure::not_owner, now, out);
    if (shard->queue.empty() && dispatch_primary(s, key, now, out))
        return;
    if (auto const reason = hopeless(s, *shard, at, now))
        return fail_part(s, key, *reason, now, out);
    if (too_late(s, *shard, e.value.deadline, now))
        return fail_part(s, key, shard_failure::overload, now, out);
    shard->queue.push_back(key);
    s.owned.at(key.sub).parts[key.index].state = part_state::queued;
}

/// Tries a part again after an attempt that brought nothing.
auto retry(node_state& s, attempt const& a, bool not_run, shard_failure reason,
    time_point now, commands& out) -> void
{
    auto const& e = s.owned.at(a.part.sub);
    auto const& p = e.parts[a.part.index];
    if (running_count(p) > 0)
        return;
    auto const it = s.services.find(e.value.request.service);
    auto const allowed = it != s.services.end() && s.init.policy.retries &&
                         p.attempts < s.init.limits.max_attempts_per_shard &&
                         (pay_extra(it->second) || not_run);
    if (!allowed)
        return fail_part(s, a.part, reason, now, out);
    place(s, a.part, now, out);
}

/// Tries again after the target was lost: only the primary owner may.
auto retry_lost(node_state& s, attempt const& a, time_point now, commands& out)
    -> void
{
    auto const& q = s.owned.at(a.part.sub).value.request;
    auto const* shard = find_shard(
        s, q.service, s.owned.at(a.part.sub).parts[a.part.index].shard);
    if (is_banned(s, q.print, now))
        fail_part(s, a.part, shard_failure::refused, now, out);
    else if (shard != nullptr && shard->share.primary)
        retry(s, a, true, shard_failure::failed, now, out);
    else
        fail_part(s, a.part, shard_failure::suspected, now, out);
}

auto accept_rows(node_state& s, attempt const& a, shard_rows const& rows,
    time_point now, commands& out) -> void
{
    auto& e = s.owned.at(a.part.sub);
    if (rows.at != e.value.request.at)
    {
        ++s.stats.stale_answers;
        return retry(s, a, false, shard_failure::snapshot, now, out);
    }
    remember_harmless(s, a.print);
    e.value.pending.answered.push_back(rows);
    end_part(s, a.part, e, now, out);
}

} // namespace

auto on_sub_query(node_state& s, instance_id from, sub_query const& q,
    time_point now, commands& out) -> void
{
    auto const key = sub_key{from, q.id};
    auto const [it, fresh] = s.owned.try_emplace(key);
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
        register_suspect(s, q.print, now);
    auto const banned = is_banned(s, q.print, now);
    auto const last = static_cast<std::uint32_t>(e.parts.size());
    for (auto i = first; i < last; ++i)
        if (banned)
            fail_part(s, {key, i}, shard_failure::refused, now, out);
        else
            place(s, {key, i}, now, out);
}

auto on_sub_cancel(node_state& s, instance_id from, sub_cancel const& m,
    time_point now, commands& out) -> void
{
    auto const it = s.owned.find({from, m.id});
    if (it == s.owned.end())
        return;
    for (auto const& p : it->second.parts)
        for (auto const id : p.running)
            cancel_attempt(s, id, now, out);
    s.owned.erase(it);
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
    auto const it = s.owned.find(e.sub);
    if (it == s.owned.end())
        return;
    auto& owned = it->second;
    auto const& q = owned.value.request;
    auto const service = s.services.find(q.service);
    owned.hedge_armed = false;
    if (service == s.services.end() || is_banned(s, q.print, now))
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
    auto const it = s.owned.find(e.sub);
    if (it == s.owned.end())
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
    auto const print = s.owned.at(key.sub).value.request.print;
    if (is_banned(s, print, now))
    {
        fail_part(s, key, shard_failure::refused, now, out);
        return true;
    }
    return dispatch_primary(s, key, now, out);
}

auto waits_as_suspect(node_state const& s, part_key const& key) -> bool
{
    auto const it = s.owned.find(key.sub);
    return it != s.owned.end() &&
           is_suspected(s, it->second.value.request.print);
}

auto review_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void
{
    auto waiting = std::deque<part_key>{};
    waiting.swap(shard.queue);
    for (auto const& key : waiting)
    {
        auto const* p = find_part(s, key);
        if (p == nullptr || p->state != part_state::queued)
            continue;
        auto const at = s.owned.at(key.sub).value.request.at;
        if (auto const reason = hopeless(s, shard, at, now))
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
        auto const it = s.owned.find(key);
        if (it == s.owned.end())
            continue;
        auto& e = it->second;
        e.flush = false;
        auto answer = sub_answer{e.value.request.id, {}, {}};
        std::swap(answer, e.value.pending);
        e.value.pending.id = answer.id;
        auto const done = e.value.open_parts == 0;
        if (done)
            s.owned.erase(it);
        post(s, key.entry, std::move(answer));
    }
}

} // namespace knapweedstream
