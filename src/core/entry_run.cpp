#include "core/entry_run.hpp"

#include "core/burn.hpp"
#include "core/entry.hpp"
#include "core/membership.hpp"
#include "core/routing.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto max_canary_shards = 3u; ///< Canary shards tried at most.
/// The canary alone gets a quarter of the time left.
constexpr auto canary_deadline_divisor = 4;
constexpr auto asked_as_suspect = 1u << 31; ///< Bit of `query_shard::asked`.
/// Lower bound of the admission limit of a service.
constexpr auto min_concurrent_queries = 4.0;
/// A rerun needs at least a third of the query's time to be left.
constexpr auto rerun_deadline_divisor = 3;

auto send_sub_query(node_state& s, query_entry& e, instance_id owner,
    std::vector<shard_id> shards, bool suspected, time_point now) -> void
{
    auto const& q = e.value;
    auto const n = static_cast<std::uint32_t>(shards.size());
    auto const margin = duration{s.init.limits.answer_margin};
    auto const left = std::max(duration{0}, q.deadline - now - margin);
    post(s, owner,
        sub_query{q.id, q.service, q.at, left, q.print, suspected, q.lost,
            q.request.text, std::move(shards)});
    auto const known = std::find_if(e.assignments.begin(), e.assignments.end(),
        [&](assignment const& it) { return it.owner == owner; });
    if (known != e.assignments.end())
        *known = assignment{owner, now, known->open + n};
    else
        e.assignments.push_back({owner, now, n});
    if (owner == s.self)
        return;
    probe_if_quiet(s, owner, now);
    arm(s, now + owner_timeout(s, owner), owner_check_due{q.id, owner});
}

auto give_up(query_entry& e, shard_id shard, shard_failure reason) -> void
{
    auto& it = e.shards[shard.value];
    it.result = shard_result{false, reason};
    it.owner = {};
    e.value.open -= it.open ? 1 : 0;
    it.open = false;
}

/// Arms a timer to ask all owners of a shard again, as the primary owner may be
/// changing.
///
/// @returns False if too little time is left.
auto retry_shard_later(
    node_state& s, query_entry& e, shard_id shard, time_point now) -> bool
{
    auto const wait = duration{s.init.limits.owner_check};
    if (e.value.deadline - now <= 2 * wait)
        return false;
    e.shards[shard.value].owner = {};
    e.shards[shard.value].asked &= asked_as_suspect;
    arm(s, now + wait, shard_retry_due{e.value.id, shard});
    return true;
}

auto unanswered_shards(query_entry const& e) -> std::vector<shard_id>
{
    auto ids = std::vector<shard_id>{};
    for (std::uint32_t i = 0; i < e.shards.size(); ++i)
        if (!e.shards[i].result.answered)
            ids.push_back(shard_id{i});
    return ids;
}

auto results_of(query_entry const& e) -> std::vector<shard_result>
{
    auto results = std::vector<shard_result>{};
    results.reserve(e.shards.size());
    for (auto const& it : e.shards)
        results.push_back(it.result);
    return results;
}

/// Adapts the admission limit of the service to the outcome of a query.
auto adapt_admission(node_state& s, pending_query const& q,
    coverage const& covered, time_point now) -> void
{
    auto const it = s.services.find(q.service);
    if (it == s.services.end())
        return;
    auto const overloaded =
        std::any_of(covered.missing.begin(), covered.missing.end(),
            [](missing_shard const& m)
            { return m.reason == shard_failure::overload; });
    auto& a = it->second.admission_limit;
    a = overloaded ? with_overload(a, min_concurrent_queries, now)
                   : with_completed(a, s.init.limits.max_queries);
}

auto send_canary(node_state& s, query_entry& e, time_point now) -> void
{
    auto const shard = canary_shard(e);
    auto const& owners =
        s.services.at(e.value.service).shards[shard.value].owners;
    auto& it = e.shards[shard.value];
    if (owners.empty() || !can_take_work(s, owners.front()))
        return ask_owners(s, e, {shard}, false, shard_failure::no_replica, now);
    it.asked |= 1;
    it.owner = owners.front();
    send_sub_query(s, e, it.owner, {shard}, false, now);
}

} // namespace

auto ask_owners(node_state& s, query_entry& e,
    std::vector<shard_id> const& shards, bool suspected, shard_failure reason,
    time_point now) -> void
{
    auto const& service = s.services.at(e.value.service);
    auto groups = std::map<instance_id, std::vector<shard_id>>{};
    for (auto const id : shards)
    {
        auto const& shard = service.shards[id.value];
        auto& it = e.shards[id.value];
        auto const once = suspected && (it.asked & asked_as_suspect) != 0;
        auto const i = suspected
                           ? std::size_t{0}
                           : next_owner(s, shard, it.asked, e.value.print);
        if (once || i >= shard.owners.size() ||
            !can_take_work(s, shard.owners[i]))
        {
            if (reason != shard_failure::not_owner ||
                !retry_shard_later(s, e, id, now))
                give_up(e, id, reason);
            continue;
        }
        it.asked |= 1u << i | (suspected ? asked_as_suspect : 0u);
        it.owner = shard.owners[i];
        groups[it.owner].push_back(id);
    }
    for (auto& [owner, list] : groups)
        send_sub_query(s, e, owner, std::move(list), suspected, now);
}

auto ask_remaining_shards(node_state& s, query_entry& e, time_point now) -> void
{
    e.value.canary = false;
    auto rest = std::vector<shard_id>{};
    for (std::uint32_t i = 0; i < e.shards.size(); ++i)
        if (!e.shards[i].result.answered && e.shards[i].asked == 0)
            rest.push_back(shard_id{i});
    ask_owners(s, e, rest, false, shard_failure::no_replica, now);
}

auto start_run(node_state& s, query_entry& e, time_point now) -> void
{
    auto const& service = s.services.at(e.value.service);
    auto const n = service.shards.size();
    e.shards.assign(n, {});
    e.assignments.clear();
    e.answers.clear();
    e.value.open = static_cast<std::uint32_t>(n);
    if (e.value.at.index_version == 0)
    {
        for (auto const id : unanswered_shards(e))
            give_up(e, id, shard_failure::no_replica);
        return;
    }
    s.stats.leaf_requests_needed += n;
    e.value.canary =
        s.init.policy.canary && n > 1 && !s.known_safe.contains(e.value.print);
    if (!e.value.canary)
        return ask_owners(
            s, e, unanswered_shards(e), false, shard_failure::no_replica, now);
    send_canary(s, e, now);
    arm(s, now + (e.value.deadline - now) / canary_deadline_divisor,
        canary_due{e.value.id});
}

auto rerun(node_state& s, query_entry& e, time_point now) -> bool
{
    auto const left = e.value.deadline - now;
    auto const total = e.value.deadline - e.value.started;
    if (e.value.id.run + 1 >= s.init.limits.max_runs ||
        left * rerun_deadline_divisor < total)
        return false;
    auto const service = s.services.find(e.value.service);
    if (service == s.services.end())
        return false;
    auto const at = choose_snapshot(s, service->second);
    if (at == e.value.at || at.index_version == 0)
        return false;
    cancel_run(s, e);
    ++s.stats.reruns;
    auto next = e.value;
    next.at = at;
    ++next.id.run;
    next.canary_tries = 0;
    e.value = next;
    start_run(s, e, now);
    return true;
}

auto shard_map_changed(node_state const& s, query_entry const& e) -> bool
{
    auto const it = s.services.find(e.value.service);
    return it == s.services.end() ||
           it->second.info.epoch != e.value.at.epoch ||
           it->second.shards.size() != e.shards.size();
}

auto next_canary(node_state& s, query_entry& e, shard_id failed, time_point now)
    -> void
{
    if (!e.value.canary || failed != canary_shard(e))
        return;
    ++e.value.canary_tries;
    if (e.value.canary_tries >= max_canary_shards ||
        e.value.canary_tries >= e.shards.size())
        ask_remaining_shards(s, e, now);
    else
        send_canary(s, e, now);
}

auto cancel_run(node_state& s, query_entry const& e) -> void
{
    for (auto const& it : e.assignments)
        if (it.open > 0)
            post(s, it.owner, sub_cancel{e.value.id});
}

auto close_query(node_state& s, query_id id) -> void
{
    auto const it = s.queries.find(id);
    auto const c = s.customers.find(it->second.value.customer);
    if (c != s.customers.end() && c->second.open > 0)
        --c->second.open;
    auto const service = s.services.find(it->second.value.service);
    if (service != s.services.end())
        service->second.admission_limit =
            with_closed(service->second.admission_limit);
    s.queries.erase(it);
}

auto finish(node_state& s, query_id id, time_point now, commands& out) -> void
{
    auto const& e = s.queries.at(id);
    cancel_run(s, e);
    auto answer =
        merge(e.value.at, results_of(e), e.answers, e.value.request.max_rows);
    answer.elapsed = now - e.value.started;
    adapt_admission(s, e.value, answer.covered, now);
    ++(answer.covered.missing.empty() ? s.stats.complete : s.stats.partial);
    auto const& customer = e.value.request.customer;
    auto const c = s.customers.find(e.value.customer);
    if (c != s.customers.end())
        report_counts(s, customer,
            count_answer(answer, c->second.config.objectives), out);
    out.push_back(answer_query{e.value.caller, std::move(answer)});
    close_query(s, id);
}

auto refuse(node_state& s, caller_id caller, std::string const& customer,
    refusal const& reason, commands& out) -> void
{
    ++s.stats.refused;
    report_counts(s, customer, count_refusal(reason), out);
    out.push_back(refuse_query{caller, reason});
}

auto canary_shard(query_entry const& e) -> shard_id
{
    auto const n = static_cast<std::uint32_t>(e.shards.size());
    return shard_id{static_cast<std::uint32_t>(
        (e.value.print.value + e.value.canary_tries) % n)};
}

} // namespace knapweedstream
