#include "core/dispatch/placing.hpp"

#include "core/dispatch/attempts.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/requests.hpp"
#include "core/dispatch/room.hpp"
#include "core/dispatch/search.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Counts a request that is sent.
auto pay(dispatch_state& s, part const& p, attempt_kind kind, time_point now)
    -> void
{
    auto& b = s.services.at(p.service).budget;
    if (kind != attempt_kind::first)
        b = with_extra(b, s.init.bounds, now);
    else if (p.first_sent == time_point{})
        b = with_first(b, s.init.bounds, now);
}

auto budget_left(dispatch_state const& s, service_id service, time_point now)
    -> double
{
    auto const& b = s.services.at(service).budget;
    return left_of(b, s.init.bounds, s.started, now);
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
    pay(s, p, a.kind, now);
    if (a.kind == attempt_kind::first)
    {
        s.stats.first_sends += p.first_sent == time_point{} ? 1 : 0;
        p.first_sent = now;
        return;
    }
    count_extra(s.stats, a.kind);
    out.push_back(report_fact{
        extra_sent{e.value.request->id, t.info.service, t.info.name, a.kind,
            now - p.first_sent, a.patience, budget_left(s, p.service, now)}});
}

auto send(dispatch_state& s, part_key const& key, target_entry& t,
    connection_id over, attempt_kind kind, time_point now, commands& out)
    -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto a = attempt{};
    a.id = next_handle<attempt_id>(s);
    a.part = key;
    a.to = t.id;
    a.over = over;
    a.kind = kind;
    a.sent_at = now;
    auto const usual = estimate_for(s, *e.value.by, t.where);
    a.patience = hedge_patience(usual, s.init.limits);
    a.late_after = late_after(usual, duration{e.value.by->latency_objective});
    auto& l = s.links.at(over);
    l = link{
        l.id, l.to, link_state::busy, a.id, now, l.usable_until, l.replied};
    t.health = with_sent(t.health, now);
    if (now < t.cold_until)
        t.warmup = with_sent(t.warmup);
    record_send(s, e, p, t, a, now, out);
    p = with_attempt(p, a);
    s.attempts.emplace(a.id, a);
    auto const left =
        std::chrono::duration_cast<milliseconds>(e.value.deadline - now);
    out.push_back(send_request{over, a.id, t.info.name, e.value.request,
        std::max(milliseconds{1}, left)});
    watch_request(s, key.request, now + a.patience);
}

auto enqueue(dispatch_state& s, part_key const& key, part& p, attempt_kind kind,
    std::uint32_t priority) -> void
{
    p.next = kind;
    if (p.queued)
        return;
    p.queued = true;
    auto& waiting = s.services.at(p.service).waiting;
    auto const less_urgent = [&](part_key const& it)
    {
        auto const r = s.requests.find(it.request);
        return r != s.requests.end() && r->second.value.by->priority > priority;
    };
    waiting.insert(
        std::find_if(waiting.begin(), waiting.end(), less_urgent), key);
}

/// Sends a part that was just sent to a suspended target too, to see whether
/// it is sound again.
auto probe(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto const& r = *e.value.by;
    if (r.delivery != delivery_semantics::idempotent ||
        p.runs >= r.max_attempts || !can_pay(s, e, p, attempt_kind::probe, now))
        return;
    for (auto const id : s.services.at(p.service).targets)
    {
        auto& t = s.targets.at(id);
        if (!wants_probe(t.health, now) || !is_usable(t, now) ||
            !is_allowed(t, r) || was_tried(p, id) || !suits(s, p, t) ||
            !bears_more(s, t, now))
            continue;
        auto const over = take_idle(s, t, false, now);
        if (over == connection_id{})
            continue;
        return send(s, key, t, over, attempt_kind::probe, now, out);
    }
}

} // namespace

auto can_pay(dispatch_state const& s, request_entry const& e, part const& p,
    attempt_kind kind, time_point now) -> bool
{
    if (kind == attempt_kind::first)
        return true;
    auto const it = s.services.find(p.service);
    if (it == s.services.end())
        return false;
    return can_pay(it->second.budget, budget_left(s, p.service, now),
        urgency_of(e, kind, now));
}

auto place(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> placed
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto const alone = running_count(p) == 0;
    auto* t = choose_target(s, p, e.value, alone, now);
    if (t == nullptr)
    {
        if (!alone || !may_come_back(s, p.service, *e.value.by, now))
            return placed::nowhere;
        enqueue(s, key, p, kind, e.value.by->priority);
        return placed::queued;
    }
    auto const fresh = e.value.by->delivery == delivery_semantics::at_most_once;
    auto const over = take_idle(s, *t, fresh, now);
    if (over != connection_id{})
    {
        send(s, key, *t, over, kind, now, out);
        if (kind == attempt_kind::first)
            probe(s, key, now, out);
        return placed::sent;
    }
    open_for_request(s, *t, now, out);
    enqueue(s, key, p, kind, e.value.by->priority);
    return placed::queued;
}

auto serve_queue(dispatch_state& s, service_id service, time_point now,
    commands& out) -> void
{
    auto const it = s.services.find(service);
    if (it == s.services.end() || it->second.waiting.empty())
        return;
    auto batch = std::deque<part_key>{};
    batch.swap(it->second.waiting);
    auto stuck = std::vector<part_key>{};
    for (auto const& key : batch)
    {
        auto* p = find_part(s, key);
        if (p == nullptr || !p->queued)
            continue;
        p->queued = false;
        if (!is_open(*p))
            continue;
        if (!can_pay(s, s.requests.at(key.request), *p, p->next, now))
        {
            if (running_count(*p) == 0)
                wait_to_retry(s, key, now);
            continue;
        }
        if (place(s, key, p->next, now, out) == placed::nowhere)
            stuck.push_back(key);
    }
    for (auto const& key : stuck)
        on_nowhere(s, key, now, out);
}

} // namespace knapweedstream::dispatch
