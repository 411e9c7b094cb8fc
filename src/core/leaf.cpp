#include "core/leaf.hpp"

#include "core/booking_exec.hpp"
#include "core/deadly_request.hpp"
#include "core/owner.hpp"
#include "core/rollout_driver.hpp"
#include "core/shard_view.hpp"
#include "core/target_health.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Ends an attempt and makes its connection idle.
auto release_connection(
    node_state& s, target_entry& t, attempt const& a, time_point now) -> void
{
    t.value.in_flight -= t.value.in_flight > 0 ? 1 : 0;
    end_suspect_attempt(s, t, a);
    auto const it = s.connections.find(a.connection);
    if (it != s.connections.end())
    {
        auto next = it->second;
        next.state = connection_state::idle;
        next.attempt = {};
        next.last_heard = now;
        it->second = next;
        t.idle.push_back(next.id);
    }
    s.attempts.erase(a.id);
}

/// Removes a connection from the tables.
auto remove_connection(node_state& s, target_entry& t, connection const& c)
    -> void
{
    t.connections -= t.connections > 0 ? 1 : 0;
    if (c.state == connection_state::opening)
        t.opening -= t.opening > 0 ? 1 : 0;
    std::erase(t.idle, c.id);
    s.connections.erase(c.id);
}

/// Closes idle connections that have not received an answer after `since`.
auto close_silent_connections(
    node_state& s, target_entry& t, time_point since, commands& out) -> void
{
    auto const idle = t.idle;
    for (auto const id : idle)
    {
        auto const c = s.connections.at(id);
        if (c.last_heard > since)
            continue;
        remove_connection(s, t, c);
        out.push_back(leaf_close{id});
        ++s.stats.unresponsive_connections;
    }
}

/// Closes a connection and ends the attempt on it, if any.
auto drop_connection(
    node_state& s, target_entry& t, connection const& c, commands& out) -> void
{
    if (c.state == connection_state::busy)
    {
        t.value.in_flight -= t.value.in_flight > 0 ? 1 : 0;
        auto const it = s.attempts.find(c.attempt);
        if (it != s.attempts.end())
        {
            end_suspect_attempt(s, t, it->second);
            s.attempts.erase(it);
        }
    }
    remove_connection(s, t, c);
    out.push_back(leaf_close{c.id});
}

auto is_owned(node_state& s, target const& t) -> bool
{
    auto const* shard = find_shard(s, t.service, t.shard);
    return shard != nullptr && shard->owned;
}

/// Passes the outcome of an attempt to the booking or sub-query it belongs to.
auto deliver(node_state& s, attempt const& a, attempt_end const& end,
    time_point now, commands& out) -> void
{
    if (is_booking(a))
        on_booking_end(s, a, end, now, out);
    else
        on_attempt_end(s, a, end, now, out);
}

/// Handles an answer that does not belong to the attempt on its connection:
/// closes the connection and fails the attempt, if any.
auto on_mismatched_answer(node_state& s, target_entry& t, connection const& c,
    time_point now, commands& out) -> void
{
    ++s.stats.stale_answers;
    auto const it = s.attempts.find(c.attempt);
    if (it == s.attempts.end())
    {
        drop_connection(s, t, c, out);
        return;
    }
    auto const a = it->second;
    drop_connection(s, t, c, out);
    deliver(s, a, ended_failed{}, now, out);
}

/// True if the rows are of the attempt's shard, or its sub-query has ended.
auto has_requested_shard(
    node_state const& s, attempt const& a, leaf_rows const& rows) -> bool
{
    auto const it = s.sub_queries.find(a.part.sub);
    if (it == s.sub_queries.end())
        return true;
    auto const& parts = it->second.parts;
    return a.part.index < parts.size() &&
           parts[a.part.index].shard == rows.rows.shard;
}

/// Updates the target's health from an outcome and returns how the attempt
/// ended.
auto apply_outcome(node_state& s, target_entry& t, attempt const& a,
    leaf_outcome const& outcome, time_point now, commands& out) -> attempt_end
{
    return std::visit(overloaded{[&](leaf_rows const& it) -> attempt_end
                          {
                              record_success(s, t, a, now, out);
                              return ended_rows{it.rows};
                          },
                          [&](leaf_booked const& it) -> attempt_end
                          {
                              record_success(s, t, a, now, out);
                              return ended_booked{it.reference};
                          },
                          [&](leaf_shed const&) -> attempt_end
                          {
                              record_shed(s, t, now);
                              return ended_not_run{};
                          },
                          [&](leaf_wrong_snapshot const&) -> attempt_end
                          { return ended_wrong_snapshot{}; },
                          [&](leaf_cancelled const&) -> attempt_end
                          { return ended_cancelled{}; },
                          [&](leaf_failed const&) -> attempt_end
                          {
                              record_failure(s, t, now, out);
                              record_version_result(s, t.value, true, 0, out);
                              return ended_failed{};
                          }},
        outcome);
}

} // namespace

auto open_connections(
    node_state& s, target_id id, time_point now, commands& out) -> void
{
    auto const found = s.targets.find(id);
    if (found == s.targets.end())
        return;
    auto& t = found->second;
    auto const* shard = find_shard(s, t.value.service, t.value.shard);
    if (shard == nullptr || !shard->owned || t.value.zone_out ||
        t.value.removed)
        return;
    auto const wanted = shard->share.concurrency + 1;
    if (t.connections >= wanted || t.opening > 0)
        return;
    if (now < t.value.open_after)
    {
        arm(s, t.value.open_after, reopen_due{id});
        return;
    }
    auto const c = connection{
        fresh_id<connection_id>(s), id, connection_state::opening, {}, now};
    s.connections.emplace(c.id, c);
    ++t.connections;
    ++t.opening;
    ++s.stats.connects;
    out.push_back(leaf_open{c.id, t.value.address});
    arm(s, now + s.init.limits.connect_timeout, connect_timeout_due{c.id});
}

auto close_connections(node_state& s, target_id id, commands& out) -> void
{
    auto to_close = std::vector<connection>{};
    for (auto const& [key, c] : s.connections)
        if (c.target == id && c.state != connection_state::busy)
            to_close.push_back(c);
    std::sort(to_close.begin(), to_close.end());
    auto& t = s.targets.at(id);
    for (auto const& c : to_close)
        drop_connection(s, t, c, out);
}

auto start_attempt(node_state& s, target_entry& t, attempt const& wanted,
    time_point now) -> attempt
{
    auto a = wanted;
    a.id = fresh_id<attempt_id>(s);
    a.target = t.value.id;
    a.connection = t.idle.back();
    a.boot = t.value.boot;
    a.sent_at = now;
    t.idle.pop_back();
    ++t.value.in_flight;
    auto& c = s.connections.at(a.connection);
    c = connection{c.id, c.target, connection_state::busy, a.id, c.last_heard};
    s.attempts.emplace(a.id, a);
    ++s.stats.leaf_requests_sent;
    return a;
}

auto cancel_attempt(node_state& s, attempt_id id, time_point now, commands& out)
    -> void
{
    auto const it = s.attempts.find(id);
    if (it == s.attempts.end() || it->second.cancelled)
        return;
    it->second.cancelled = true;
    out.push_back(
        leaf_cancel{s.targets.at(it->second.target).value.address, id});
    arm(s, now + s.init.limits.cancel_grace, cancel_due{id});
}

auto on_leaf_opened(
    node_state& s, leaf_opened const& e, time_point now, commands& out) -> void
{
    auto const it = s.connections.find(e.connection);
    if (it == s.connections.end())
    {
        out.push_back(leaf_close{e.connection});
        return;
    }
    auto next = it->second;
    next.state = connection_state::idle;
    next.last_heard = now;
    it->second = next;
    auto& t = s.targets.at(next.target);
    t.opening -= t.opening > 0 ? 1 : 0;
    t.idle.push_back(next.id);
    apply_report(s, t, e.report, out);
    if (auto* shard = find_shard(s, t.value.service, t.value.shard))
        serve_queue(s, *shard, now, out);
    open_connections(s, next.target, now, out);
}

auto on_leaf_closed(
    node_state& s, leaf_closed const& e, time_point now, commands& out) -> void
{
    auto const it = s.connections.find(e.connection);
    if (it == s.connections.end())
        return;
    auto const c = it->second;
    auto& t = s.targets.at(c.target);
    auto const lost = s.attempts.find(c.attempt);
    auto const a = lost == s.attempts.end()
                       ? std::optional<attempt>{}
                       : std::optional<attempt>{lost->second};
    auto const was_suspect = a && end_suspect_attempt(s, t, *a);
    if (a)
    {
        t.value.in_flight -= t.value.in_flight > 0 ? 1 : 0;
        s.attempts.erase(a->id);
    }
    remove_connection(s, t, c);
    if (c.state == connection_state::opening)
        t.value.open_after = now + s.init.limits.connect_backoff;
    else if (a)
    {
        record_failure(s, t, now, out);
        t.value = with_restart(t.value);
        announce_warmth(s, t.value);
    }
    if (t.connections == 0)
        t.value.versions.clear();
    refresh_view(s, t.value.service, t.value.shard);
    if (a && !e.unsent)
        record_version_result(s, t.value, true, 0, out);
    if (a && !e.unsent)
        on_target_lost(s, *a, was_suspect, now, out);
    if (a)
        deliver(s, *a, e.unsent ? attempt_end{ended_not_run{}} : ended_lost{},
            now, out);
    if (auto* shard = find_shard(s, t.value.service, t.value.shard))
        prune_queue(s, *shard, now, out);
    open_connections(s, c.target, now, out);
}

auto on_leaf_answered(node_state& s, leaf_answered const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.connections.find(e.connection);
    if (it == s.connections.end())
    {
        ++s.stats.stale_answers;
        return;
    }
    auto const c = it->second;
    auto& t = s.targets.at(c.target);
    apply_report(s, t, e.report, out);
    auto const found = s.attempts.find(c.attempt);
    auto const* rows = std::get_if<leaf_rows>(&e.outcome);
    if (found == s.attempts.end() || e.attempt != c.attempt ||
        (rows != nullptr && !has_requested_shard(s, found->second, *rows)))
    {
        on_mismatched_answer(s, t, c, now, out);
        open_connections(s, c.target, now, out);
        return;
    }
    auto const a = found->second;
    auto const end = apply_outcome(s, t, a, e.outcome, now, out);
    release_connection(s, t, a, now);
    if (std::holds_alternative<ended_rows>(end))
        clear_suspicion(s, a.print);
    deliver(s, a, end, now, out);
    if (auto* shard = find_shard(s, t.value.service, t.value.shard))
        serve_queue(s, *shard, now, out);
    if (!is_owned(s, t.value) || t.value.zone_out || t.value.removed)
        close_connections(s, t.value.id, out);
}

auto on_cancel_due(
    node_state& s, cancel_due const& e, time_point now, commands& out) -> void
{
    auto const it = s.attempts.find(e.attempt);
    if (it == s.attempts.end())
        return;
    auto const a = it->second;
    auto& t = s.targets.at(a.target);
    auto const c = s.connections.at(a.connection);
    auto const others_answered = std::any_of(t.idle.begin(), t.idle.end(),
        [&](connection_id id)
        { return s.connections.at(id).last_heard > a.sent_at; });
    drop_connection(s, t, c, out);
    ++s.stats.unresponsive_connections;
    out.push_back(report_fact{connection_unresponsive{a.target}});
    close_silent_connections(s, t, a.sent_at, out);
    if (!others_answered)
    {
        record_failure(s, t, now, out);
        record_version_result(s, t.value, true, 0, out);
    }
    if (is_booking(a))
        deliver(s, a, ended_lost{}, now, out);
    open_connections(s, a.target, now, out);
}

auto on_connect_timeout_due(node_state& s, connect_timeout_due const& e,
    time_point now, commands& out) -> void
{
    auto const it = s.connections.find(e.connection);
    if (it == s.connections.end() ||
        it->second.state != connection_state::opening)
        return;
    out.push_back(leaf_close{e.connection});
    on_leaf_closed(s, {e.connection, true}, now, out);
}

auto serve_queue(
    node_state& s, shard_entry& shard, time_point now, commands& out) -> void
{
    while (!shard.bookings.empty() &&
           dispatch_booking(s, shard, shard.bookings.front(), now, out))
        shard.bookings.pop_front();
    auto skipped = std::deque<part_key>{};
    while (!shard.queue.empty())
    {
        auto const key = shard.queue.front();
        shard.queue.pop_front();
        if (dispatch_queued(s, key, now, out))
            continue;
        skipped.push_back(key);
        if (!is_suspected_part(s, key))
            break;
    }
    shard.queue.insert(shard.queue.begin(), skipped.begin(), skipped.end());
}

} // namespace knapweedstream
