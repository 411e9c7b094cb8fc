#include "core/dispatch/placing.hpp"

#include "core/dispatch/choice.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/requests.hpp"

#include <algorithm>
#include <array>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto saving_windows = 2; ///< Budget windows after a start in which
                                   ///< the share is saved up.
constexpr auto default_opening = milliseconds{8}; ///< If unknown.

auto is_allowed(target_entry const& t, route const& r) -> bool
{
    return r.regions.empty() || std::find(r.regions.begin(), r.regions.end(),
                                    t.region) != r.regions.end();
}

auto was_tried(part const& p, target_id id) -> bool
{
    return std::find(p.tried.begin(), p.tried.end(), id) != p.tried.end();
}

auto prior(proximity p) -> duration
{
    switch (p)
    {
    case proximity::zone:
        return milliseconds{20};
    case proximity::region:
        return milliseconds{25};
    case proximity::far:
        return milliseconds{60};
    }
    return milliseconds{60};
}

auto estimate_for(dispatch_state const& s, route const& r, proximity p)
    -> latency_estimate
{
    auto const it = s.latencies.find(r.name);
    return it == s.latencies.end() ? latency_estimate{}
                                   : it->second.at[static_cast<std::size_t>(p)];
}

auto candidate_of(dispatch_state& s, target_entry& t, route const& r,
    bool fresh, time_point now) -> candidate
{
    auto const& limits = s.init.limits;
    auto const e = estimate_for(s, r, t.where);
    auto c = candidate{};
    c.typical = typical(e, prior(t.where));
    c.slowness = slowness_at(t.health, limits, now);
    c.failure_rate = failure_rate_at(t.health, limits, now);
    c.in_flight = t.health.in_flight;
    c.slots = t.info.slots;
    c.silence = silence(t.health, now);
    c.patience = hedge_patience(e, limits);
    c.penalty =
        t.where == proximity::far ? duration{limits.far_penalty} : duration{0};
    c.idle =
        !t.idle.empty() && (!fresh || now - s.links.at(t.idle.back()).since <=
                                          duration{limits.fresh_for});
    c.may_open = may_open(s, t, now) || t.links == 0;
    c.opening = t.opening_takes == duration{0} ? duration{default_opening}
                                               : t.opening_takes;
    return c;
}

/// Which targets a search takes; each step takes more of them.
struct search_step
{
    bool suspended = false;  ///< Also those that were silent.
    bool tried = false;      ///< Also those that were asked for this part.
    bool over_share = false; ///< Also one connection beyond this instance's
                             ///< share.
};

constexpr auto search_steps = std::array{search_step{false, false, false},
    search_step{false, false, true}, search_step{true, false, true},
    search_step{true, true, true}};

/// True if the target has a connection, or one may be opened for a request.
auto can_connect(
    dispatch_state& s, target_entry& t, bool over_share, time_point now) -> bool
{
    return t.links > 0 || may_open(s, t, now) ||
           (over_share && now >= t.open_after);
}

/// Suspended targets of idempotent requests are probed beside another one.
auto may_be_first(target_health const& h, route const& r, time_point now)
    -> bool
{
    return std::holds_alternative<sound>(h.state) ||
           (r.repeat == repeatability::at_most_once && is_trusted(h, now));
}

auto is_eligible(dispatch_state& s, target_entry& t, part const& p,
    route const& r, search_step const& step, time_point now) -> bool
{
    return is_usable(t, now) && is_reachable(t, now) && is_allowed(t, r) &&
           (step.tried || !was_tried(p, t.id)) &&
           (step.suspended || may_be_first(t.health, r, now)) &&
           can_connect(s, t, step.over_share, now);
}

auto eligible_targets(dispatch_state& s, part const& p, route const& r,
    bool alone, time_point now) -> std::vector<target_entry*>
{
    auto const service = s.services.find(p.service);
    auto found = std::vector<target_entry*>{};
    if (service == s.services.end())
        return found;
    for (auto const& step : search_steps)
    {
        if (step.tried && !alone)
            break;
        for (auto const id : service->second.targets)
            if (auto& t = s.targets.at(id); is_eligible(s, t, p, r, step, now))
                found.push_back(&t);
        if (!found.empty())
            break;
    }
    return found;
}

auto choose_target(dispatch_state& s, part const& p, open_request const& r,
    bool alone, time_point now) -> target_entry*
{
    auto const fresh = r.by->repeat == repeatability::at_most_once;
    auto const targets = eligible_targets(s, p, *r.by, alone, now);
    auto from = std::vector<candidate>{};
    for (auto* it : targets)
        from.push_back(candidate_of(s, *it, *r.by, fresh, now));
    auto const best = choose(from, s.random);
    return best ? targets[*best] : nullptr;
}

auto running_count(part const& p) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(p.running.begin(),
        p.running.end(), [](attempt_id id) { return id != attempt_id{}; }));
}

template <class Array, class Id>
auto put(Array& where, Id id) -> void
{
    auto const free = std::find(where.begin(), where.end(), Id{});
    if (free != where.end())
        *free = id;
}

/// Earns for a part's first request, pays for a further one.
auto pay(dispatch_state& s, part const& p, attempt_kind kind, time_point now)
    -> double
{
    auto& service = s.services.at(p.service);
    save_up(s, service, now);
    auto& b = service.budget;
    if (kind != attempt_kind::first)
        b = with_extra(b);
    else if (p.first_sent == time_point{})
        b = with_first(b, s.init.bounds);
    return b.tokens;
}

auto count_extra(dispatch_stats& stats, attempt_kind kind) -> void
{
    switch (kind)
    {
    case attempt_kind::hedge:
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
    auto const budget = pay(s, p, a.kind, now);
    if (a.kind == attempt_kind::first)
    {
        s.stats.first_sends += p.first_sent == time_point{} ? 1 : 0;
        p.first_sent = now;
        return;
    }
    count_extra(s.stats, a.kind);
    out.push_back(note{extra_sent{e.value.request->id, t.info.service,
        t.info.name, a.kind, now - p.first_sent, a.patience, budget}});
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
    a.patience =
        hedge_patience(estimate_for(s, *e.value.by, t.where), s.init.limits);
    auto& l = s.links.at(over);
    l = link{
        l.id, l.to, link_state::busy, a.id, now, l.usable_until, l.replied};
    t.health = with_sent(t.health, now);
    record_send(s, e, p, t, a, now, out);
    put(p.running, a.id);
    if (!was_tried(p, t.id))
        put(p.tried, t.id);
    p.last = t.id;
    p.state = part_state::running;
    ++p.sends;
    ++p.runs;
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

} // namespace

auto may_come_back(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool
{
    auto const it = s.services.find(service);
    return it != s.services.end() &&
           std::any_of(it->second.targets.begin(), it->second.targets.end(),
               [&](target_id id)
               {
                   auto const& t = s.targets.at(id);
                   return is_usable(t, now) && is_allowed(t, r) &&
                          is_returning(s, t, now);
               });
}

/// True if an opening has begun and has not yet taken unusually long.
auto is_about_to_open(target_entry const& t, time_point now) -> bool
{
    constexpr auto usual_times = 3;
    constexpr auto unknown = duration{milliseconds{50}};
    auto const usual = t.opening_takes == duration{0}
                           ? unknown
                           : usual_times * t.opening_takes;
    return t.opening > 0 && now - t.opened_last < usual;
}

auto is_connecting(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool
{
    auto const it = s.services.find(service);
    if (it == s.services.end())
        return false;
    auto const opening = std::any_of(it->second.targets.begin(),
        it->second.targets.end(),
        [&](target_id id) { return is_about_to_open(s.targets.at(id), now); });
    return opening || may_come_back(s, service, r, now);
}

auto find_part(dispatch_state& s, part_key const& key) -> part*
{
    auto const it = s.requests.find(key.request);
    return it == s.requests.end() ? nullptr : &it->second.parts[key.index];
}

auto has_target(dispatch_state& s, service_id service, open_request const& r,
    time_point now) -> bool
{
    auto const it = s.services.find(service);
    return it != s.services.end() &&
           std::any_of(it->second.targets.begin(), it->second.targets.end(),
               [&](target_id id)
               {
                   return is_eligible(s, s.targets.at(id), {}, *r.by,
                       search_steps.back(), now);
               });
}

auto can_pay(dispatch_state const& s, service_id service, attempt_kind kind)
    -> bool
{
    auto const it = s.services.find(service);
    auto const spare = kind != attempt_kind::retry;
    return kind == attempt_kind::first ||
           (it != s.services.end() && can_pay(it->second.budget, spare));
}

auto save_up(dispatch_state const& s, service_entry& e, time_point now) -> void
{
    auto const span = duration{s.init.bounds.budget_window} * saving_windows;
    auto const until = std::min(now, s.started + span);
    if (until <= e.saved_at)
        return;
    auto const part = static_cast<double>((until - e.saved_at).count()) /
                      static_cast<double>(span.count());
    e.budget = with_saved(e.budget, part);
    e.saved_at = until;
}

/// Sends a part that was just sent to a suspended target too, to see whether
/// it is sound again.
auto probe(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    auto const& r = *e.value.by;
    if (r.repeat != repeatability::idempotent || p.runs >= r.max_attempts ||
        !can_pay(s, p.service, attempt_kind::probe))
        return;
    for (auto const id : s.services.at(p.service).targets)
    {
        auto& t = s.targets.at(id);
        if (!wants_probe(t.health, now) || !is_usable(t, now) ||
            !is_allowed(t, r) || was_tried(p, id))
            continue;
        auto const over = take_idle(s, t, false, now);
        if (over == connection_id{})
            continue;
        return send(s, key, t, over, attempt_kind::probe, now, out);
    }
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
    auto const fresh = e.value.by->repeat == repeatability::at_most_once;
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
        if (p->state == part_state::answered || p->state == part_state::failed)
            continue;
        if (!can_pay(s, service, p->next))
        {
            if (running_count(*p) == 0)
                stuck.push_back(key);
            continue;
        }
        if (place(s, key, p->next, now, out) == placed::nowhere)
            stuck.push_back(key);
    }
    for (auto const& key : stuck)
        on_nowhere(s, key, now, out);
}

} // namespace knapweedstream::dispatch
