#include "core/dispatch/placing.hpp"

#include "core/dispatch/attempts.hpp"
#include "core/dispatch/concurrency_limit.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/requests.hpp"
#include "core/dispatch/search.hpp"
#include "core/dispatch/sender_share.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Counts an attempt in the retry budget of its service: an extra request is
/// charged, the first request of a part adds to the budget. A repeat of a first
/// request of which nothing was written is not counted.
auto charge_budget(
    dispatch_state& s, part const& p, attempt_kind kind, time_point now) -> void
{
    auto& b = s.services.at(p.service).budget;
    if (kind != attempt_kind::first)
        b = with_extra(b);
    else if (p.first_sent == time_point{})
        b = with_first(b, s.init.bounds, now);
}

auto budget_left(dispatch_state const& s, service_id service, time_point now)
    -> double
{
    auto const& b = s.services.at(service).budget;
    return extra_left(b, s.init.bounds, terms_at(s, service, now), now);
}

auto count_extra(dispatch_stats& stats, attempt_kind kind) -> void
{
    switch (kind)
    {
    case attempt_kind::hedge:
    case attempt_kind::rescue:
        ++stats.hedges;
        break;
    case attempt_kind::probe:
        ++stats.probes;
        break;
    case attempt_kind::retry:
    case attempt_kind::first:
        ++stats.retries;
        break;
    }
}

auto record_send(dispatch_state& s, request_entry& e, part& p, target_entry& t,
    attempt const& a, time_point now, commands& out) -> void
{
    charge_budget(s, p, a.kind, now);
    if (a.kind == attempt_kind::first)
    {
        auto const repeated = p.first_sent != time_point{};
        ++(repeated ? s.stats.free_repeats : s.stats.first_sends);
        p.first_sent = now;
        return;
    }
    count_extra(s.stats, a.kind);
    out.push_back(report_fact{extra_sent{e.value.request->id, t.info.service,
        t.info.name, a.kind, now - p.first_sent, a.hedge_delay,
        budget_left(s, p.service, now), a.connection}});
}

auto send(dispatch_state& s, part_key const& key, target_entry& t,
    connection_id connection, attempt_kind kind, time_point now, commands& out)
    -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto a = attempt{};
    a.id = next_handle<attempt_id>(s);
    a.part = key;
    a.target = t.id;
    a.connection = connection;
    a.kind = kind;
    a.sent_at = now;
    a.route = e.value.matched_route->name;
    auto const usual = estimate_for(s, *e.value.matched_route, t.distance);
    a.usual = typical_latency(usual, duration{0});
    a.hedge_delay = hedge_delay_for(usual, s.init.limits);
    a.late_after =
        late_after(usual, duration{e.value.matched_route->latency_objective});
    auto& l = s.links.at(connection);
    a.connection_opened = l.opened;
    l.state = link_state::busy;
    l.attempt = a.id;
    l.since = now;
    t.health = with_sent(t.health, now);
    if (t.first_sent == time_point{})
        t.first_sent = now;
    if (now < t.cold_until)
        t.warmup = with_sent(t.warmup);
    t.notices = with_sent(t.notices);
    a.charged = kind != attempt_kind::first;
    if (a.charged)
        a.first = p.first_attempt;
    else
        p.first_attempt = a.id;
    record_send(s, e, p, t, a, now, out);
    p = with_attempt(p, a);
    s.attempts.emplace(a.id, a);
    auto const left =
        std::chrono::duration_cast<milliseconds>(e.value.deadline - now);
    out.push_back(send_request{connection, a.id, t.info.name, e.value.request,
        std::max(milliseconds{1}, left)});
    arm_request_timer(s, key.request, now + a.hedge_delay);
}

auto enqueue(dispatch_state& s, part_key const& key, part& p, attempt_kind kind,
    std::uint32_t priority) -> void
{
    p.queued_kind = kind;
    if (p.queued)
        return;
    p.queued = true;
    auto& waiting = s.services.at(p.service).waiting;
    auto const less_urgent = [&](part_key const& it)
    {
        auto const r = s.requests.find(it.request);
        return r != s.requests.end() &&
               r->second.value.matched_route->priority > priority;
    };
    waiting.insert(
        std::find_if(waiting.begin(), waiting.end(), less_urgent), key);
}

/// Arms a timer for the next request that a limited target takes, unless one is
/// armed that fires no later.
auto arm_allowance(dispatch_state& s, limit_wait const& next, time_point now)
    -> void
{
    auto& due = s.targets.at(next.target).allowance_due;
    if (due > now && due <= next.at)
        return;
    due = next.at;
    arm(s, next.at, target_due{next.target});
}

/// True if a part that no target can take now may wait: for a connection that
/// is being restored, or for a target's limit, in which case a timer is armed.
auto may_wait(dispatch_state& s, part const& p, route const& r, time_point now)
    -> bool
{
    if (has_reconnecting_target(s, p.service, r, now))
        return true;
    auto const next = next_allowance(s, p, r, now);
    if (!next)
        return false;
    arm_allowance(s, *next, now);
    return true;
}

/// Also sends a part, which was just sent to another target, to a suspended
/// target whose suspension has run out, to find out whether it has recovered.
auto probe(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto const& r = *e.value.matched_route;
    if (r.delivery != delivery_semantics::idempotent ||
        p.runs >= r.max_attempts ||
        !within_budget(s, e, p, attempt_kind::probe, now))
        return;
    for (auto const id : s.services.at(p.service).targets)
    {
        auto& t = s.targets.at(id);
        if (!wants_probe(t.health, now) || !is_usable(t, now) ||
            !is_allowed(t, r) || was_tried(p, id) ||
            !is_version_allowed(s, p, t, now) || !warmup_allows(s, t, now) ||
            !notices_allow(s, t, now))
            continue;
        auto const connection = take_idle(s, t, p, r.delivery, now);
        if (connection == connection_id{})
            continue;
        return send(s, key, t, connection, attempt_kind::probe, now, out);
    }
}

} // namespace

auto within_budget(dispatch_state const& s, request_entry const& e,
    part const& p, attempt_kind kind, time_point now) -> bool
{
    if (kind == attempt_kind::first)
        return true;
    auto const it = s.services.find(p.service);
    if (it == s.services.end())
        return false;
    return allows_extra(terms_at(s, p.service, now),
        budget_left(s, p.service, now), urgency_of(e, kind, now));
}

auto place(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> place_result
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto const none_running = running_count(p) == 0;
    auto* t = choose_target(s, p, e.value, none_running, now);
    if (t == nullptr)
    {
        if (!none_running || !may_wait(s, p, *e.value.matched_route, now))
            return place_result::unplaced;
        enqueue(s, key, p, kind, e.value.matched_route->priority);
        return place_result::queued;
    }
    auto const connection =
        take_idle(s, *t, p, e.value.matched_route->delivery, now);
    if (connection != connection_id{})
    {
        send(s, key, *t, connection, kind, now, out);
        if (kind == attempt_kind::first)
            probe(s, key, now, out);
        return place_result::sent;
    }
    open_for_request(s, *t, now, out);
    enqueue(s, key, p, kind, e.value.matched_route->priority);
    return place_result::queued;
}

auto serve_queue(dispatch_state& s, service_id service, time_point now,
    commands& out) -> void
{
    auto const it = s.services.find(service);
    if (it == s.services.end() || it->second.waiting.empty())
        return;
    auto batch = std::deque<part_key>{};
    batch.swap(it->second.waiting);
    auto unplaced_parts = std::vector<part_key>{};
    for (auto const& key : batch)
    {
        auto* p = find_part(s, key);
        if (p == nullptr || !p->queued)
            continue;
        p->queued = false;
        if (!is_open(*p))
            continue;
        if (!within_budget(
                s, s.requests.at(key.request), *p, p->queued_kind, now))
        {
            if (running_count(*p) == 0)
                schedule_retry(s, key, now);
            continue;
        }
        if (place(s, key, p->queued_kind, now, out) == place_result::unplaced)
            unplaced_parts.push_back(key);
    }
    for (auto const& key : unplaced_parts)
        on_unplaced(s, key, now, out);
}

} // namespace knapweedstream::dispatch
