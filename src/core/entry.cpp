#include "core/entry.hpp"

#include "core/burn.hpp"
#include "core/deadly_request.hpp"
#include "core/entry_run.hpp"
#include "core/membership.hpp"
#include "core/routing.hpp"

#include <algorithm>
#include <set>

namespace knapweedstream
{

namespace
{

auto fingerprint_of(query_request const& q) -> fingerprint
{
    return fingerprint{
        hash_name(q.text, hash_name(q.service, hash_name(q.customer)))};
}

auto refuse_banned(node_state& s, query_id id, commands& out) -> void
{
    auto const& e = s.queries.at(id);
    cancel_run(s, e);
    refuse(s, e.value.caller, e.value.request.customer, deadly_request{}, out);
    close_query(s, id);
}

/// Asks another owner for a shard that its owner gave up. A suspected request
/// goes to the primary owner.
auto reassign(node_state& s, query_entry& e, missing_shard const& m,
    time_point now) -> void
{
    auto const suspected = m.reason == shard_failure::suspected;
    ask_owners(s, e, {m.shard}, suspected, m.reason, now);
    if (e.shards[m.shard.value].owner == instance_id{})
        next_canary(s, e, m.shard, now);
}

/// Stores the rows of a shard. Rows of a canary show that the request is safe.
auto store_rows(node_state& s, query_entry& e, shard_rows const& rows,
    time_point now) -> void
{
    auto const i = rows.shard.value;
    if (i >= e.shards.size() || e.shards[i].result.answered ||
        rows.at != e.value.at)
    {
        ++s.stats.stale_answers;
        return;
    }
    e.value.open -= e.shards[i].open ? 1 : 0;
    e.shards[i].open = false;
    e.shards[i].result = shard_result{true, {}};
    e.shards[i].owner = {};
    e.answers.push_back(rows);
    if (!e.value.canary)
        return;
    mark_known_safe(s, e.value.print);
    ask_remaining_shards(s, e, now);
}

/// Notes that an owner answered `n` of the shards it was asked for.
auto decrement_open(query_entry& e, instance_id from, std::size_t n) -> void
{
    for (auto& it : e.assignments)
        if (it.owner == from)
        {
            auto const done =
                static_cast<std::uint32_t>(std::min<std::size_t>(n, it.open));
            it = assignment{it.owner, it.sent_at, it.open - done};
        }
}

/// True if a shard is missing because no replica serves the pinned snapshot.
auto wants_rerun(query_entry const& e) -> bool
{
    return std::any_of(e.shards.begin(), e.shards.end(),
        [](query_shard const& it)
        {
            return !it.result.answered && it.owner == instance_id{} &&
                   it.result.reason == shard_failure::snapshot;
        });
}

/// Restarts the query if the shard map has changed or a shard lacks the pinned
/// snapshot. Answers the caller if the map has changed and no restart is
/// possible, or if no shard is open.
auto finish_if_done(node_state& s, query_id id, time_point now, commands& out)
    -> void
{
    auto& e = s.queries.at(id);
    if (shard_map_changed(s, e) && !rerun(s, e, now))
        return finish(s, id, now, out);
    if (wants_rerun(e) && rerun(s, e, now))
        return;
    if (e.value.open == 0)
        finish(s, id, now, out);
}

/// Asks other owners for the open shards of a silent owner and tells them to
/// probe it.
auto fail_over(node_state& s, query_entry& e, instance_id owner, time_point now)
    -> void
{
    auto open = std::vector<shard_id>{};
    for (std::uint32_t i = 0; i < e.shards.size(); ++i)
        if (e.shards[i].owner == owner)
            open.push_back(shard_id{i});
    decrement_open(e, owner, open.size());
    ++s.stats.owner_failovers;
    post(s, owner, sub_cancel{e.value.id});
    ask_owners(s, e, open, false, shard_failure::not_owner, now);
    auto notified = std::set<instance_id>{owner, s.self};
    for (auto const id : open)
        for (auto const it :
            s.services.at(e.value.service).shards[id.value].owners)
            if (can_take_work(s, it) && notified.insert(it).second)
                post(s, it, peer_suspicion{owner});
}

} // namespace

auto report_counts(node_state const& s, std::string const& customer,
    request_counts const& counts, commands& out) -> void
{
    auto const it = s.customers.find(id_of<customer_id>(customer));
    if (it != s.customers.end() && counts != request_counts{})
        out.push_back(
            count_request{customer, it->second.config.objectives, counts});
}

auto find_service(node_state const& s, std::string_view customer,
    std::string_view service) -> service_id
{
    auto const id = service_of(id_of<customer_id>(customer), service);
    return s.services.contains(id) ? id : service_id{};
}

auto check_admission(node_state const& s, std::string const& customer,
    std::string const& service, milliseconds deadline) -> std::optional<refusal>
{
    auto const it = s.customers.find(id_of<customer_id>(customer));
    if (it == s.customers.end())
        return unknown_customer{customer};
    if (find_service(s, customer, service) == service_id{})
        return unknown_service{service};
    auto const& limits = s.init.limits;
    if (deadline != milliseconds{0} &&
        (deadline < limits.min_deadline || deadline > limits.max_deadline))
        return bad_field{"deadline_ms",
            std::to_string(limits.min_deadline.count()) + " to " +
                std::to_string(limits.max_deadline.count())};
    if (it->second.open >= it->second.config.max_queries)
        return over_admission{it->second.config.max_queries};
    if (s.queries.size() + s.bookings.size() >= limits.max_queries)
        return over_capacity{};
    return std::nullopt;
}

auto on_caller_query(
    node_state& s, caller_query const& e, time_point now, commands& out) -> void
{
    ++s.stats.queries;
    auto const& q = e.request;
    if (auto const reason =
            check_admission(s, q.customer, q.service, q.deadline))
        return refuse(s, e.caller, q.customer, *reason, out);
    if (q.max_rows == 0 || q.max_rows > s.init.limits.max_rows)
        return refuse(s, e.caller, q.customer,
            bad_field{
                "max_rows", "1 to " + std::to_string(s.init.limits.max_rows)},
            out);
    auto const print = fingerprint_of(q);
    if (is_banned(s, print, now))
        return refuse(s, e.caller, q.customer, deadly_request{}, out);
    auto const service = find_service(s, q.customer, q.service);
    if (!may_open(s.services.at(service).admission_limit))
        return refuse(s, e.caller, q.customer, over_capacity{}, out);
    auto const& info = s.services.at(service).info;
    auto entry = query_entry{};
    entry.value.caller = e.caller;
    entry.value.customer = id_of<customer_id>(q.customer);
    entry.value.service = service;
    entry.value.request = q;
    entry.value.print = print;
    entry.value.started = now;
    entry.value.deadline =
        now + (q.deadline == milliseconds{0} ? info.deadline : q.deadline);
    entry.value.id = run_id{fresh_id<query_id>(s), 0};
    entry.value.at = choose_snapshot(s, s.services.at(service));
    auto const id = entry.value.id.query;
    ++s.customers.at(entry.value.customer).open;
    auto& admission_limit = s.services.at(service).admission_limit;
    admission_limit = with_opened(admission_limit);
    arm(s, entry.value.deadline, query_due{id});
    auto& stored = s.queries.emplace(id, std::move(entry)).first->second;
    start_run(s, stored, now);
    finish_if_done(s, id, now, out);
}

auto on_caller_gone(node_state& s, caller_gone const& e, time_point, commands&)
    -> void
{
    for (auto const& [id, entry] : s.queries)
        if (entry.value.caller == e.caller)
        {
            cancel_run(s, entry);
            close_query(s, id);
            return;
        }
}

auto on_sub_answer(node_state& s, instance_id from, sub_answer const& m,
    time_point now, commands& out) -> void
{
    auto const it = s.queries.find(m.id.query);
    if (it == s.queries.end() || it->second.value.id != m.id)
    {
        s.stats.stale_answers += m.answered.size();
        return;
    }
    auto& e = it->second;
    if (shard_map_changed(s, e))
        return finish_if_done(s, m.id.query, now, out);
    decrement_open(e, from, m.answered.size() + m.failed.size());
    for (auto const& rows : m.answered)
        store_rows(s, e, rows, now);
    if (m.lost != lost_target{})
        e.value.lost = m.lost;
    for (auto const& missing : m.failed)
    {
        auto const i = missing.shard.value;
        if (i >= e.shards.size() || e.shards[i].owner != from)
            continue;
        if (missing.reason == shard_failure::refused)
            return refuse_banned(s, m.id.query, out);
        reassign(s, e, missing, now);
    }
    finish_if_done(s, m.id.query, now, out);
}

auto on_owner_check_due(node_state& s, owner_check_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.queries.find(e.run.query);
    if (it == s.queries.end() || it->second.value.id != e.run)
        return;
    auto& entry = it->second;
    auto const asked =
        std::find_if(entry.assignments.begin(), entry.assignments.end(),
            [&](assignment const& a) { return a.owner == e.owner; });
    if (asked == entry.assignments.end() || asked->open == 0)
        return;
    if (shard_map_changed(s, entry))
        return finish_if_done(s, e.run.query, now, out);
    if (!check_peer(s, e.owner, now, out))
    {
        fail_over(s, entry, e.owner, now);
        return finish_if_done(s, e.run.query, now, out);
    }
    arm(s, now + owner_timeout(s, e.owner), e);
}

auto on_shard_retry_due(node_state& s, shard_retry_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.queries.find(e.run.query);
    if (it == s.queries.end() || it->second.value.id != e.run ||
        shard_map_changed(s, it->second))
        return;
    auto const& shard = it->second.shards[e.shard.value];
    if (shard.result.answered || shard.owner != instance_id{})
        return;
    ask_owners(s, it->second, {e.shard}, false, shard_failure::not_owner, now);
    finish_if_done(s, e.run.query, now, out);
}

auto on_canary_due(
    node_state& s, canary_due const& e, time_point now, commands& out) -> void
{
    auto const it = s.queries.find(e.run.query);
    if (it == s.queries.end() || it->second.value.id != e.run ||
        !it->second.value.canary || shard_map_changed(s, it->second) ||
        is_suspected(s, it->second.value.print))
        return;
    ask_remaining_shards(s, it->second, now);
    finish_if_done(s, e.run.query, now, out);
}

auto on_query_due(
    node_state& s, query_due const& e, time_point now, commands& out) -> void
{
    if (s.queries.contains(e.query))
        finish(s, e.query, now, out);
}

} // namespace knapweedstream
