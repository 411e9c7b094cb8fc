#include "core/entry.hpp"

#include "core/burn.hpp"
#include "core/deadly.hpp"
#include "core/membership.hpp"

#include <algorithm>
#include <set>

namespace knapweedstream
{

namespace
{

constexpr auto max_canary_shards = 3u;      ///< Canaries tried before the rest.
constexpr auto canary_share = 4;            ///< Canary's part of the deadline.
constexpr auto asked_as_suspect = 1u << 31; ///< Bit of `entry_shard::asked`.
constexpr auto rerun_share = 3; ///< Least part left for a second run.

auto print_of(query_request const& q) -> fingerprint
{
    return fingerprint{
        hash_name(q.text, hash_name(q.service, hash_name(q.customer)))};
}

/// Versions that a shard can serve, as told by those of its owners that live.
auto served_by(node_state const& s, shard_entry const& shard)
    -> std::vector<std::uint64_t>
{
    auto all = std::vector<std::uint64_t>{};
    for (auto const owner : shard.owners)
    {
        auto const it = shard.views.find(owner);
        if (it != shard.views.end() && can_work(s, owner))
            all.insert(all.end(), it->second.begin(), it->second.end());
    }
    return all;
}

auto pin(node_state const& s, service_entry const& service) -> snapshot
{
    auto served = std::vector<std::vector<std::uint64_t>>{};
    served.reserve(service.shards.size());
    for (auto const& it : service.shards)
        served.push_back(served_by(s, it));
    return {service.info.epoch, choose_version(served)};
}

/// Best owner of the shard that has not been asked in this run: this node,
/// then one in its zone, then the highest rank. Half of the requests go to an
/// owner that has a replica to warm.
auto next_owner(node_state const& s, shard_entry const& shard,
    std::uint32_t asked, fingerprint print) -> std::size_t
{
    auto const to_warm = (print.value & 1) != 0;
    auto best = shard.owners.size();
    auto best_score = -1;
    for (std::size_t i = 0; i < shard.owners.size(); ++i)
    {
        auto const id = shard.owners[i];
        if ((asked >> i & 1) != 0 || !can_work(s, id))
            continue;
        auto const local = id == s.self;
        auto const near = !local && in_own_zone(s, id);
        auto const warms = to_warm && id == shard.warming_by;
        auto const score = warms ? 3 : local ? 2 : near ? 1 : 0;
        if (score > best_score)
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

auto send_sub_query(node_state& s, query_entry& e, instance_id owner,
    std::vector<shard_id> shards, bool suspected, time_point now) -> void
{
    auto const& q = e.value;
    auto const n = static_cast<std::uint32_t>(shards.size());
    auto const way_back = duration{s.init.limits.answer_margin};
    auto const left = std::max(duration{0}, q.deadline - now - way_back);
    post(s, owner,
        sub_query{q.id, q.service, q.at, left, q.print, suspected,
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
    arm(s, now + owner_patience(s, owner), owner_due{q.id, owner});
}

auto give_up(query_entry& e, shard_id shard, shard_failure reason) -> void
{
    auto& it = e.shards[shard.value];
    it.slot = shard_slot{false, reason};
    it.owner = {};
    --e.value.open;
}

/// Plans to ask all owners again: who is primary may be changing hands.
///
/// @returns False if there is no time for it.
auto ask_later(node_state& s, query_entry& e, shard_id shard, time_point now)
    -> bool
{
    auto const wait = duration{s.init.limits.owner_check};
    if (e.value.deadline - now <= 2 * wait)
        return false;
    e.shards[shard.value].owner = {};
    e.shards[shard.value].asked &= asked_as_suspect;
    arm(s, now + wait, ask_due{e.value.id, shard});
    return true;
}

/// Sends shards to their next owners; those without one are given up.
auto ask(node_state& s, query_entry& e, std::vector<shard_id> const& shards,
    bool suspected, shard_failure reason, time_point now) -> void
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
        if (once || i >= shard.owners.size() || !can_work(s, shard.owners[i]))
        {
            if (reason != shard_failure::not_owner || !ask_later(s, e, id, now))
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

auto all_shards(query_entry const& e) -> std::vector<shard_id>
{
    auto ids = std::vector<shard_id>{};
    for (std::uint32_t i = 0; i < e.shards.size(); ++i)
        if (!e.shards[i].slot.answered)
            ids.push_back(shard_id{i});
    return ids;
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
        service->second.admitted = with_closed(service->second.admitted);
    s.queries.erase(it);
}

auto slots_of(query_entry const& e) -> std::vector<shard_slot>
{
    auto slots = std::vector<shard_slot>{};
    slots.reserve(e.shards.size());
    for (auto const& it : e.shards)
        slots.push_back(it.slot);
    return slots;
}

/// Learns from a query how many more the service bears.
auto adapt_admission(node_state& s, entry_query const& q,
    coverage const& covered, time_point now) -> void
{
    auto const it = s.services.find(q.service);
    if (it == s.services.end())
        return;
    auto const overloaded =
        std::any_of(covered.missing.begin(), covered.missing.end(),
            [](missing_shard const& m)
            { return m.reason == shard_failure::overload; });
    auto& a = it->second.admitted;
    a = overloaded ? with_overload(a, now)
                   : with_room(a, s.init.limits.max_queries);
}

auto finish(node_state& s, query_id id, time_point now, commands& out) -> void
{
    auto const& e = s.queries.at(id);
    cancel_run(s, e);
    auto answer =
        merge(e.value.at, slots_of(e), e.answers, e.value.request.max_rows);
    answer.elapsed = now - e.value.started;
    adapt_admission(s, e.value, answer.covered, now);
    ++(answer.covered.missing.empty() ? s.stats.complete : s.stats.partial);
    auto const& customer = e.value.request.customer;
    auto const c = s.customers.find(e.value.customer);
    if (c != s.customers.end())
        count(s, customer, count_answer(answer, c->second.config.objectives),
            out);
    out.push_back(answer_query{e.value.caller, std::move(answer)});
    close_query(s, id);
}

auto refuse(node_state& s, caller_id caller, std::string const& customer,
    refusal const& reason, commands& out) -> void
{
    ++s.stats.refused;
    count(s, customer, count_refusal(reason), out);
    out.push_back(refuse_query{caller, reason});
}

auto refuse_deadly(node_state& s, query_id id, commands& out) -> void
{
    auto const& e = s.queries.at(id);
    cancel_run(s, e);
    refuse(s, e.value.caller, e.value.request.customer, deadly_request{}, out);
    close_query(s, id);
}

auto canary_shard(query_entry const& e) -> shard_id
{
    auto const n = static_cast<std::uint32_t>(e.shards.size());
    return shard_id{static_cast<std::uint32_t>(
        (e.value.print.value + e.value.canary_tries) % n)};
}

auto send_canary(node_state& s, query_entry& e, time_point now) -> void
{
    auto const shard = canary_shard(e);
    auto const& owners =
        s.services.at(e.value.service).shards[shard.value].owners;
    auto& it = e.shards[shard.value];
    if (owners.empty() || !can_work(s, owners.front()))
        return ask(s, e, {shard}, false, shard_failure::no_replica, now);
    it.asked |= 1;
    it.owner = owners.front();
    send_sub_query(s, e, it.owner, {shard}, false, now);
}

/// Asks all shards that nobody has been asked for.
auto ask_rest(node_state& s, query_entry& e, time_point now) -> void
{
    e.value.canary = false;
    auto rest = std::vector<shard_id>{};
    for (std::uint32_t i = 0; i < e.shards.size(); ++i)
        if (!e.shards[i].slot.answered && e.shards[i].asked == 0)
            rest.push_back(shard_id{i});
    ask(s, e, rest, false, shard_failure::no_replica, now);
}

/// Starts a run at the pinned snapshot.
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
        for (auto const id : all_shards(e))
            give_up(e, id, shard_failure::no_replica);
        return;
    }
    s.stats.leaf_needed += n;
    e.value.canary =
        s.init.policy.canary && n > 1 && !s.harmless.contains(e.value.print);
    if (!e.value.canary)
        return ask(s, e, all_shards(e), false, shard_failure::no_replica, now);
    send_canary(s, e, now);
    arm(s, now + (e.value.deadline - now) / canary_share,
        canary_due{e.value.id});
}

/// Starts again at another snapshot if that covers more.
///
/// @returns True if a new run was started.
auto rerun(node_state& s, query_entry& e, time_point now) -> bool
{
    auto const left = e.value.deadline - now;
    auto const total = e.value.deadline - e.value.started;
    if (e.value.id.run + 1 >= s.init.limits.max_runs ||
        left * rerun_share < total)
        return false;
    auto const service = s.services.find(e.value.service);
    if (service == s.services.end())
        return false;
    auto const at = pin(s, service->second);
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

/// The map changed under the query: its shards no longer mean the same.
auto map_changed(node_state const& s, query_entry const& e) -> bool
{
    auto const it = s.services.find(e.value.service);
    return it == s.services.end() ||
           it->second.info.epoch != e.value.at.epoch ||
           it->second.shards.size() != e.shards.size();
}

/// The canary ended without rows: tries another shard, then the rest.
auto next_canary(node_state& s, query_entry& e, shard_id failed, time_point now)
    -> void
{
    if (!e.value.canary || failed != canary_shard(e))
        return;
    ++e.value.canary_tries;
    if (e.value.canary_tries >= max_canary_shards ||
        e.value.canary_tries >= e.shards.size())
        ask_rest(s, e, now);
    else
        send_canary(s, e, now);
}

/// Handles one shard that an owner gave up.
auto reassign(node_state& s, query_entry& e, missing_shard const& m,
    time_point now) -> void
{
    auto const suspected = m.reason == shard_failure::suspected;
    ask(s, e, {m.shard}, suspected, m.reason, now);
    if (e.shards[m.shard.value].owner == instance_id{})
        next_canary(s, e, m.shard, now);
}

auto take_rows(node_state& s, query_entry& e, shard_rows const& rows,
    time_point now) -> void
{
    auto const i = rows.shard.value;
    if (i >= e.shards.size() || e.shards[i].slot.answered ||
        rows.at != e.value.at)
    {
        ++s.stats.stale_answers;
        return;
    }
    auto const was_open = e.shards[i].owner != instance_id{};
    e.shards[i].slot = shard_slot{true, {}};
    e.shards[i].owner = {};
    e.value.open -= was_open ? 1 : 0;
    e.answers.push_back(rows);
    if (!e.value.canary)
        return;
    remember_harmless(s, e.value.print);
    ask_rest(s, e, now);
}

auto settle_assignment(query_entry& e, instance_id from, std::size_t n) -> void
{
    for (auto& it : e.assignments)
        if (it.owner == from)
        {
            auto const settled =
                static_cast<std::uint32_t>(std::min<std::size_t>(n, it.open));
            it = assignment{it.owner, it.sent_at, it.open - settled};
        }
}

auto wants_rerun(query_entry const& e) -> bool
{
    return std::any_of(e.shards.begin(), e.shards.end(),
        [](entry_shard const& it)
        {
            return !it.slot.answered && it.owner == instance_id{} &&
                   it.slot.reason == shard_failure::snapshot;
        });
}

/// Answers the caller if nothing more is to be waited for.
auto conclude(node_state& s, query_id id, time_point now, commands& out) -> void
{
    auto& e = s.queries.at(id);
    if (map_changed(s, e) && !rerun(s, e, now))
        return finish(s, id, now, out);
    if (wants_rerun(e) && rerun(s, e, now))
        return;
    if (e.value.open == 0)
        finish(s, id, now, out);
}

/// Takes an owner's open shards to other owners.
auto fail_over(node_state& s, query_entry& e, instance_id owner, time_point now)
    -> void
{
    auto open = std::vector<shard_id>{};
    for (std::uint32_t i = 0; i < e.shards.size(); ++i)
        if (e.shards[i].owner == owner)
            open.push_back(shard_id{i});
    settle_assignment(e, owner, open.size());
    ++s.stats.owner_failovers;
    post(s, owner, sub_cancel{e.value.id});
    ask(s, e, open, false, shard_failure::not_owner, now);
    auto told = std::set<instance_id>{owner, s.self};
    for (auto const id : open)
        for (auto const it :
            s.services.at(e.value.service).shards[id.value].owners)
            if (can_work(s, it) && told.insert(it).second)
                post(s, it, peer_suspicion{owner});
}

} // namespace

auto count(node_state const& s, std::string const& customer,
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
    auto const id =
        service_id{hash_name(service, id_of<customer_id>(customer).value)};
    return s.services.contains(id) ? id : service_id{};
}

auto admit(node_state const& s, std::string const& customer,
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
    if (auto const reason = admit(s, q.customer, q.service, q.deadline))
        return refuse(s, e.caller, q.customer, *reason, out);
    if (q.max_rows == 0 || q.max_rows > s.init.limits.max_rows)
        return refuse(s, e.caller, q.customer,
            bad_field{
                "max_rows", "1 to " + std::to_string(s.init.limits.max_rows)},
            out);
    auto const print = print_of(q);
    if (is_banned(s, print, now))
        return refuse(s, e.caller, q.customer, deadly_request{}, out);
    auto const service = find_service(s, q.customer, q.service);
    if (!may_open(s.services.at(service).admitted))
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
    entry.value.at = pin(s, s.services.at(service));
    auto const id = entry.value.id.query;
    ++s.customers.at(entry.value.customer).open;
    auto& admitted = s.services.at(service).admitted;
    admitted = with_opened(admitted);
    arm(s, entry.value.deadline, query_due{id});
    auto& stored = s.queries.emplace(id, std::move(entry)).first->second;
    start_run(s, stored, now);
    conclude(s, id, now, out);
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
    if (map_changed(s, e))
        return conclude(s, m.id.query, now, out);
    settle_assignment(e, from, m.answered.size() + m.failed.size());
    for (auto const& rows : m.answered)
        take_rows(s, e, rows, now);
    for (auto const& missing : m.failed)
    {
        auto const i = missing.shard.value;
        if (i >= e.shards.size() || e.shards[i].owner != from)
            continue;
        if (missing.reason == shard_failure::refused)
            return refuse_deadly(s, m.id.query, out);
        reassign(s, e, missing, now);
    }
    conclude(s, m.id.query, now, out);
}

auto on_owner_due(
    node_state& s, owner_due const& e, time_point now, commands& out) -> void
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
    if (map_changed(s, entry))
        return conclude(s, e.run.query, now, out);
    if (!check_peer(s, e.owner, now, out))
    {
        fail_over(s, entry, e.owner, now);
        return conclude(s, e.run.query, now, out);
    }
    arm(s, now + owner_patience(s, e.owner), e);
}

auto on_ask_due(node_state& s, ask_due const& e, time_point now, commands& out)
    -> void
{
    auto const it = s.queries.find(e.run.query);
    if (it == s.queries.end() || it->second.value.id != e.run ||
        map_changed(s, it->second))
        return;
    auto const& shard = it->second.shards[e.shard.value];
    if (shard.slot.answered || shard.owner != instance_id{})
        return;
    ask(s, it->second, {e.shard}, false, shard_failure::not_owner, now);
    conclude(s, e.run.query, now, out);
}

auto on_canary_due(
    node_state& s, canary_due const& e, time_point now, commands& out) -> void
{
    auto const it = s.queries.find(e.run.query);
    if (it == s.queries.end() || it->second.value.id != e.run ||
        !it->second.value.canary || map_changed(s, it->second) ||
        is_suspected(s, it->second.value.print))
        return;
    ask_rest(s, it->second, now);
    conclude(s, e.run.query, now, out);
}

auto on_query_due(
    node_state& s, query_due const& e, time_point now, commands& out) -> void
{
    if (s.queries.contains(e.query))
        finish(s, e.query, now, out);
}

} // namespace knapweedstream
