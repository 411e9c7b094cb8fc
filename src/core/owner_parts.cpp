#include "core/owner_parts.hpp"

#include "core/deadly_request.hpp"
#include "core/leaf.hpp"
#include "core/rollout_driver.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Latency samples needed before the latency quantile is used.
constexpr auto min_samples_for_quantile = 20u;
constexpr auto min_hedge_delay = duration{1'000};

auto was_tried(part const& p, target_id id) -> bool
{
    return std::find(p.tried.begin(), p.tried.end(), id) != p.tried.end();
}

auto with_attempt(part const& p, attempt const& a) -> part
{
    auto next = p;
    next.state = part_state::running;
    next.tried[next.attempts % next.tried.size()] = a.target;
    ++next.attempts;
    auto const free =
        std::find(next.running.begin(), next.running.end(), attempt_id{});
    if (free != next.running.end())
        *free = a.id;
    return next;
}

/// Marks the pending answer of a sub-query for the next `flush_answers`.
auto mark_flush(node_state& s, sub_key const& key, sub_query_entry& e) -> void
{
    if (e.flush_queued)
        return;
    e.flush_queued = true;
    s.to_flush.push_back(key);
}

auto serves(target const& t, snapshot at) -> bool
{
    return std::find(t.versions.begin(), t.versions.end(), at.index_version) !=
           t.versions.end();
}

/// True if the old version may serve the shard. After the rollout has ended,
/// that is only if no connected replica of the new version is available.
auto may_fall_back(node_state const& s, shard_entry const& shard,
    rollout_entry const& e, rollout_policy const& policy, time_point now)
    -> bool
{
    if (e.value.phase == rollout_phase::running)
        return true;
    return std::none_of(shard.replicas.begin(), shard.replicas.end(),
        [&](target_id id)
        {
            auto const& t = s.targets.at(id);
            return t.value.version == policy.to &&
                   !is_unavailable(t.value, now) && t.connections > t.opening;
        });
}

/// Chooses a replica of the version selected for the sub-query. Replicas that
/// were tried are used only if there is no other and no attempt is in flight.
/// Falls back to the old version if the new one has no replica with capacity.
auto choose_replica(node_state& s, owned_sub_query const& owned, part const& p,
    shard_entry& shard, bool is_hedge, time_point now) -> target_entry*
{
    auto const& q = owned.request;
    auto const& policy = s.services.at(q.service).info.rollout;
    auto const suspected = is_suspected(s, q.request_fingerprint);
    auto choice = owned.version;
    auto const usable = [&](target const& t)
    {
        return serves(t, q.at) && matches_version(t, policy, choice) &&
               (!suspected ||
                   s.targets.at(t.id).suspect_attempt == attempt_id{});
    };
    auto const untried = [&](target const& t)
    {
        return usable(t) && !was_tried(p, t.id);
    };
    auto const choose = [&]() -> target_entry*
    {
        auto* t = choose_target(s, shard, now, untried);
        if (t == nullptr && !is_hedge && running_count(p) == 0)
            t = choose_target(s, shard, now, usable);
        return t;
    };
    auto* t = choose();
    if (t == nullptr && choice == version_choice::new_first &&
        may_fall_back(s, shard, s.services.at(q.service).rollout, policy, now))
    {
        choice = version_choice::old_only;
        t = choose();
    }
    return t;
}

/// Sends a part to a replica with capacity; false if there is none. A suspected
/// request has at most one attempt in flight.
auto dispatch(node_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> bool
{
    auto& e = s.sub_queries.at(key.sub);
    auto& q = e.value.request;
    auto& p = e.parts[key.index];
    auto* shard = find_shard(s, q.service, p.shard);
    if (shard == nullptr || !shard->owned)
        return false;
    auto const suspected = is_suspected(s, q.request_fingerprint);
    if (suspected && s.suspicions.at(q.request_fingerprint).running)
        return false;
    auto* t =
        choose_replica(s, e.value, p, *shard, kind == attempt_kind::hedge, now);
    if (t == nullptr)
        return false;
    auto wanted = attempt{};
    wanted.part = key;
    wanted.kind = kind;
    wanted.print = q.request_fingerprint;
    auto const a = start_attempt(s, *t, wanted, now);
    p = with_attempt(p, a);
    if (suspected)
        begin_suspect_attempt(s, *t, a);
    out.push_back(leaf_search{
        a.connection, a.id, p.shard, q.at, e.value.deadline - now, q.text});
    return true;
}

/// True if the estimated wait in the shard's queue exceeds the time left. The
/// estimate assumes the highest replica latency and full use of all limits.
auto would_miss_deadline(node_state const& s, shard_entry const& shard,
    time_point deadline, time_point now) -> bool
{
    auto total = 0.0;
    auto latency = 0.0;
    for (auto const id : shard.replicas)
    {
        auto const& t = s.targets.at(id);
        if (is_unavailable(t.value, now) || t.connections == t.opening)
            continue;
        total += effective_limit(s, t.value, shard, now);
        latency = std::max(latency, t.value.latency_us);
    }
    auto const wait = static_cast<double>(shard.queue.size()) * latency /
                      std::max(1.0, total);
    return wait > static_cast<double>((deadline - now).count());
}

} // namespace

auto find_part(node_state& s, part_key const& key) -> part*
{
    auto const it = s.sub_queries.find(key.sub);
    if (it == s.sub_queries.end() || key.index >= it->second.parts.size())
        return nullptr;
    return &it->second.parts[key.index];
}

auto running_count(part const& p) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(p.running.begin(),
        p.running.end(), [](attempt_id it) { return it != attempt_id{}; }));
}

auto without_attempt(part const& p, attempt_id id) -> part
{
    auto next = p;
    std::replace(next.running.begin(), next.running.end(), id, attempt_id{});
    return next;
}

auto fail_part(node_state& s, part_key const& key, shard_failure reason,
    time_point now, commands& out) -> void
{
    auto const it = s.sub_queries.find(key.sub);
    if (it == s.sub_queries.end())
        return;
    auto& e = it->second;
    if (e.parts[key.index].state == part_state::ended)
        return;
    e.value.pending.failed.push_back({e.parts[key.index].shard, reason});
    end_part(s, key, e, now, out);
}

auto end_part(node_state& s, part_key const& key, sub_query_entry& e,
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

auto dispatch_part(
    node_state& s, part_key const& key, time_point now, commands& out) -> bool
{
    auto const first = s.sub_queries.at(key.sub).parts[key.index].attempts == 0;
    auto const kind = first ? attempt_kind::primary : attempt_kind::retry;
    if (!dispatch(s, key, kind, now, out))
        return false;
    auto const& e = s.sub_queries.at(key.sub);
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

auto withdraw_retry_token(service_entry& service) -> bool
{
    auto const left = withdraw(service.budget);
    if (!left)
        return false;
    service.budget = *left;
    return true;
}

auto unservable_reason(node_state const& s, shard_entry const& shard,
    snapshot at, time_point now) -> std::optional<shard_failure>
{
    if (!shard.owned)
        return shard_failure::not_owner;
    auto reason = shard_failure::no_replica;
    for (auto const id : shard.replicas)
    {
        auto const& t = s.targets.at(id);
        auto const connected = t.connections > t.opening;
        if (is_unavailable(t.value, now) || t.connections == 0)
            continue;
        if (connected && !serves(t.value, at))
            reason = shard_failure::snapshot;
        else if (effective_limit(s, t.value, shard, now) == 0)
            reason = shard_failure::not_owner;
        else
            return std::nullopt;
    }
    return reason;
}

auto dispatch_or_queue(
    node_state& s, part_key const& key, time_point now, commands& out) -> void
{
    auto const& e = s.sub_queries.at(key.sub);
    auto const& p = e.parts[key.index];
    auto const at = e.value.request.at;
    auto* shard = find_shard(s, e.value.request.service, p.shard);
    if (shard == nullptr)
        return fail_part(s, key, shard_failure::not_owner, now, out);
    if (shard->queue.empty() && dispatch_part(s, key, now, out))
        return;
    if (auto const reason = unservable_reason(s, *shard, at, now))
        return fail_part(s, key, *reason, now, out);
    if (would_miss_deadline(s, *shard, e.value.deadline, now))
        return fail_part(s, key, shard_failure::overload, now, out);
    shard->queue.push_back(key);
    s.sub_queries.at(key.sub).parts[key.index].state = part_state::queued;
}

auto arm_hedge(node_state& s, sub_key const& key, time_point when) -> void
{
    auto& e = s.sub_queries.at(key);
    if (e.hedge_armed)
        return;
    e.hedge_armed = true;
    arm(s, when, hedge_due{key});
}

auto hedge_delay(service_entry const& service, time_point deadline,
    time_point now) -> duration
{
    if (service.latency.samples < min_samples_for_quantile)
        return std::max(min_hedge_delay, (deadline - now) / 4);
    auto const us = static_cast<duration::rep>(service.latency.value_us);
    return std::max(min_hedge_delay, duration{us});
}

auto hedge(node_state& s, part_key const& key, bool ignore_budget,
    time_point now, commands& out) -> bool
{
    auto const& q = s.sub_queries.at(key.sub).value.request;
    auto const& p = s.sub_queries.at(key.sub).parts[key.index];
    auto const* shard = find_shard(s, q.service, p.shard);
    if (shard == nullptr || !shard->queue.empty())
        return false;
    auto& budget = s.services.at(q.service).budget;
    if (!ignore_budget && budget.tokens < 1)
        return false;
    if (!dispatch(s, key, attempt_kind::hedge, now, out))
        return false;
    budget = withdraw(budget).value_or(budget);
    ++s.stats.hedges;
    return true;
}

auto may_hedge(node_state const& s, part const& p) -> bool
{
    return p.state == part_state::running && running_count(p) == 1 &&
           p.attempts < s.init.limits.max_attempts_per_shard;
}

auto sent_at(node_state const& s, part const& p) -> time_point
{
    for (auto const id : p.running)
        if (auto const it = s.attempts.find(id); it != s.attempts.end())
            return it->second.sent_at;
    return {};
}

} // namespace knapweedstream
