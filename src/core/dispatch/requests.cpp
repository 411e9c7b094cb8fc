#include "core/dispatch/requests.hpp"

#include "core/dispatch/answers.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/route_table.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto queue_share = 4; ///< Part of the objective spent in a queue.
/// Between looks at a request that waits for connections.
constexpr auto connecting_look = milliseconds{10};
constexpr auto hang_up_patience = milliseconds{200}; ///< For attempts whose
                                                     ///< caller hung up.

/// Services that a request needs; for a split, the one that is its turn.
auto wanted_services(dispatch_state& s, route const& r)
    -> std::vector<std::string>
{
    if (auto const* split = std::get_if<to_split>(&r.to))
    {
        if (split->parts.empty())
            return {};
        auto const i = next_part(*split, s.splits[r.name]);
        return {split->parts[i].service};
    }
    return services_of(r);
}

/// Time that the caller has spent on earlier attempts: its deadline is that
/// much shorter than the longest one seen on the route.
auto spent_before(dispatch_state& s, route const& r, duration deadline)
    -> duration
{
    auto& longest = s.longest_deadline[r.name];
    longest = std::max(longest, deadline);
    return longest - deadline;
}

auto open(dispatch_state& s, caller_request const& e, route const& r,
    time_point now) -> open_request
{
    auto const timeout = duration{r.timeout};
    auto const stated =
        e.request->deadline ? duration{*e.request->deadline} : timeout;
    auto const spent = spent_before(s, r, stated);
    auto const objective = duration{r.latency_objective};
    auto const margin = duration{s.init.limits.answer_margin};
    auto v = open_request{};
    v.caller = e.caller;
    v.request = e.request;
    v.config = s.config;
    v.by = &r;
    v.started = now;
    v.deadline =
        now + std::max(duration{0}, std::min(stated, timeout) - margin);
    v.objective = std::min(
        v.deadline, now + std::max(duration{0}, objective - spent - margin));
    v.queue_until = std::min(v.deadline, now + objective / queue_share);
    return v;
}

auto coverage_floor(route const& r) -> double
{
    auto const* it = std::get_if<to_shards>(&r.to);
    return it == nullptr ? 1.0 : it->min_coverage;
}

/// True if too many parts have no target for the route's least coverage.
auto is_hopeless(dispatch_state& s, request_entry const& e, time_point now)
    -> bool
{
    auto const able = std::count_if(e.parts.begin(), e.parts.end(),
        [&](part const& p)
        {
            return has_target(s, p.service, e.value, now) ||
                   may_come_back(s, p.service, *e.value.by, now);
        });
    auto const share =
        static_cast<double>(able) / static_cast<double>(e.parts.size());
    return able == 0 || share < coverage_floor(*e.value.by);
}

auto fail_part(request_entry& e, part& p, time_point now) -> void
{
    if (p.state == part_state::answered || p.state == part_state::failed)
        return;
    p.state = part_state::failed;
    p.ended_at = now;
    e.open -= e.open > 0 ? 1 : 0;
}

auto is_running(part const& p) -> bool
{
    return std::any_of(p.running.begin(), p.running.end(),
        [](attempt_id id) { return id != attempt_id{}; });
}

auto abandon(
    dispatch_state& s, attempt_id id, duration patience, time_point now) -> void
{
    auto const it = s.attempts.find(id);
    if (it == s.attempts.end() || it->second.abandoned)
        return;
    auto next = it->second;
    next.abandoned = true;
    it->second = next;
    arm(s, now + patience, loser_due{id});
}

auto abandon_others(dispatch_state& s, part& p, time_point now) -> void
{
    for (auto& id : p.running)
        if (id != attempt_id{})
        {
            abandon(s, id, s.init.limits.loser_patience, now);
            id = {};
        }
}

/// An attempt that may have run is over; it is no longer counted as running.
auto without_attempt(part const& p, attempt_id id) -> part
{
    auto next = p;
    std::replace(next.running.begin(), next.running.end(), id, attempt_id{});
    return next;
}

auto may_try_again(dispatch_state const& s, request_entry const& e,
    part const& p, attempt_kind kind) -> bool
{
    auto const& r = *e.value.by;
    auto const ran_once = r.repeat == repeatability::at_most_once && p.runs > 0;
    return !ran_once && p.runs < r.max_attempts &&
           p.sends < r.max_attempts + s.init.limits.spare_sends &&
           can_pay(s, p.service, kind);
}

auto tell_budget(dispatch_state& s, request_entry const& e, part& p,
    attempt_kind kind, commands& out) -> void
{
    if (p.over_budget || can_pay(s, p.service, kind))
        return;
    p.over_budget = true;
    ++s.stats.budget_refusals;
    out.push_back(note{budget_spent{
        e.value.request->id, s.services.at(p.service).name, kind}});
}

/// Sends a part again after an attempt that brought nothing, or fails it.
auto try_again(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    if (p.state == part_state::answered || p.state == part_state::failed ||
        p.queued || is_running(p))
        return;
    if (!may_try_again(s, e, p, kind))
    {
        tell_budget(s, e, p, kind, out);
        return fail_part(e, p, now);
    }
    if (place(s, key, kind, now, out) == placed::nowhere)
        fail_part(e, p, now);
}

auto accept(dispatch_state& s, attempt const& a, target_message const& m,
    time_point now) -> void
{
    auto& e = s.requests.at(a.part.request);
    auto& p = e.parts[a.part.index];
    p.state = part_state::answered;
    p.last = a.to;
    p.ended_at = now;
    e.answers[a.part.index] = m;
    --e.open;
    ++e.good;
    abandon_others(s, p, now);
}

auto observe_latency(dispatch_state& s, attempt const& a, target_entry const& t,
    time_point now) -> double
{
    auto const it = s.requests.find(a.part.request);
    if (it == s.requests.end())
        return 0;
    auto& e = s.latencies[it->second.value.by->name]
                  .at[static_cast<std::size_t>(t.where)];
    auto const took = now - a.sent_at;
    auto const usual = typical(e, duration{0});
    e = with_latency(e, took);
    return usual == duration{0} ? 0
                                : static_cast<double>(took.count()) /
                                      static_cast<double>(usual.count());
}

/// What a reply means for the part that it answers.
struct reply_meaning
{
    attempt_end how = attempt_end::success;
    bool ran = true;
    std::uint32_t status = 0;
};

auto meaning_of(target_reply const& r) -> reply_meaning
{
    return std::visit(
        overloaded{[](reply_success const& it) -> reply_meaning {
                       return {attempt_end::success, true, it.message.status};
                   },
            [](reply_failure const& it) -> reply_meaning {
                return {attempt_end::failure, true, it.message.status};
            },
            [](reply_overloaded const&) -> reply_meaning {
                return {attempt_end::overloaded, false, 0};
            },
            [](reply_wrong_target const&) -> reply_meaning {
                return {attempt_end::wrong_target, false, 0};
            },
            [](reply_unusable const&) -> reply_meaning
            {
                return {attempt_end::unusable, true, 0};
            }},
        r);
}

/// Another target has the address: nothing more goes there until the target
/// registers anew.
auto displace(dispatch_state& s, target_entry& t, commands& out) -> void
{
    t.displaced = true;
    close_idle(s, t, out);
    out.push_back(
        note{target_judged{t.info.name, t.info.service, t.info.address,
            target_view::displaced, "reply=wrong_target", t.revision}});
}

auto tell_failure(dispatch_state& s, attempt const& a, reply_meaning const& m,
    time_point now, commands& out) -> void
{
    auto const r = s.requests.find(a.part.request);
    auto const t = s.targets.find(a.to);
    if (r == s.requests.end() || t == s.targets.end())
        return;
    out.push_back(
        note{attempt_failed{r->second.value.request->id, t->second.info.service,
            t->second.info.name, m.how, m.status, now - a.sent_at}});
}

/// Hands the end of an attempt to its part.
auto settle(dispatch_state& s, attempt const& a, reply_meaning const& m,
    target_reply const* reply, time_point now, commands& out) -> void
{
    auto const it = s.requests.find(a.part.request);
    if (it == s.requests.end() || a.abandoned)
        return;
    auto& e = it->second;
    auto& p = e.parts[a.part.index];
    p = without_attempt(p, a.id);
    if (p.state == part_state::answered || p.state == part_state::failed)
        return;
    auto const* good =
        reply == nullptr ? nullptr : std::get_if<reply_success>(reply);
    if (good != nullptr)
    {
        accept(s, a, good->message, now);
        return conclude(s, a.part.request, now, out);
    }
    tell_failure(s, a, m, now, out);
    auto const unread =
        m.how == attempt_end::unsent || m.how == attempt_end::turned_away;
    p.runs -= !m.ran && p.runs > 0 ? 1 : 0;
    p.sends -= unread && p.sends > 0 ? 1 : 0;
    if (m.how == attempt_end::overloaded)
        e.refusal = refusal_reason::overloaded;
    if (reply != nullptr)
        if (auto const* f = std::get_if<reply_failure>(reply))
            e.failure = f->message;
    auto const again = unread ? a.kind : attempt_kind::retry;
    try_again(s, a.part, again, now, out);
    conclude(s, a.part.request, now, out);
}

auto needs_hedge(part const& p) -> bool
{
    return p.state == part_state::running && !p.queued &&
           std::count_if(p.running.begin(), p.running.end(),
               [](attempt_id id) { return id != attempt_id{}; }) == 1;
}

/// When the one running attempt of a part has taken too long.
auto hedge_time(dispatch_state const& s, part const& p) -> time_point
{
    for (auto const id : p.running)
        if (auto const it = s.attempts.find(id); it != s.attempts.end())
            return it->second.sent_at + it->second.patience;
    return time_point::max();
}

/// Holds it against the targets of a part that its attempts are overdue.
auto note_overdue(dispatch_state& s, part const& p, time_point now) -> void
{
    for (auto const id : p.running)
    {
        auto const it = s.attempts.find(id);
        if (it == s.attempts.end() || it->second.overdue)
            continue;
        it->second.overdue = true;
        auto& h = s.targets.at(it->second.to).health;
        h = with_overdue(h, s.init.limits, now);
    }
}

auto hedge(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    note_overdue(s, p, now);
    if (e.value.by->repeat != repeatability::idempotent)
        return;
    if (may_try_again(s, e, p, attempt_kind::hedge))
        place(s, key, attempt_kind::hedge, now, out);
    else if (p.runs < e.value.by->max_attempts)
        tell_budget(s, e, p, attempt_kind::hedge, out);
}

/// A request of which no part could be sent by the end of its time in queues
/// waits on if a connection is about to stand, until it would be late.
/// Otherwise it is given up.
auto limit_queueing(dispatch_state& s, request_entry& e, time_point now) -> void
{
    auto const sent = std::any_of(e.parts.begin(), e.parts.end(),
        [](part const& p) { return p.sends > 0; });
    if (sent)
        return;
    auto const soon = std::all_of(e.parts.begin(), e.parts.end(),
        [&](part const& p)
        { return is_connecting(s, p.service, *e.value.by, now); });
    auto const late = now + connecting_look >= e.value.objective;
    if (soon && !late)
    {
        e.value.queue_until = now + connecting_look;
        return;
    }
    e.refusal = refusal_reason::overloaded;
    for (auto& p : e.parts)
        fail_part(e, p, now);
}

/// Next time at which the request needs a look.
auto next_look(dispatch_state const& s, request_entry const& e, time_point now)
    -> time_point
{
    auto when = e.value.deadline;
    auto const consider = [&](time_point t)
    {
        if (t > now)
            when = std::min(when, t);
    };
    consider(e.value.objective);
    consider(e.value.queue_until);
    if (e.value.by->repeat == repeatability::idempotent)
        for (auto const& p : e.parts)
            if (needs_hedge(p))
                consider(hedge_time(s, p));
    return when;
}

/// True if a new connection broke at its first request, sooner than a reply
/// comes: the target had more connections than it accepts.
auto broke_unread(dispatch_state const& s, attempt const& a, link const& l,
    connection_closed const& e, time_point now) -> bool
{
    auto const r = s.requests.find(a.part.request);
    if (l.replied || e.how != connection_end::reset || r == s.requests.end())
        return false;
    auto const& t = s.targets.at(l.to);
    auto const round_trip =
        t.opening_takes + duration{s.init.limits.turned_away_slack};
    auto const known = s.latencies.find(r->second.value.by->name);
    auto const sooner =
        known == s.latencies.end()
            ? round_trip
            : soonest(known->second.at[static_cast<std::size_t>(t.where)],
                  round_trip);
    return now - a.sent_at < sooner;
}

/// What the loss of a connection means for the request in flight on it.
auto meaning_of_loss(dispatch_state const& s, attempt const& a, link const& l,
    connection_closed const& e, time_point now) -> reply_meaning
{
    if (e.unsent)
        return {attempt_end::unsent, false, 0};
    auto const r = s.requests.find(a.part.request);
    auto const idempotent =
        r != s.requests.end() &&
        r->second.value.by->repeat == repeatability::idempotent;
    if (idempotent && broke_unread(s, a, l, e, now))
        return {attempt_end::turned_away, false, 0};
    return {attempt_end::lost, true, 0};
}

auto lose_attempt(dispatch_state& s, attempt const a, link const& l,
    connection_closed const& e, time_point now, commands& out) -> void
{
    auto const m = meaning_of_loss(s, a, l, e, now);
    s.attempts.erase(a.id);
    forget_link(s, l);
    auto& t = s.targets.at(l.to);
    if (m.ran)
    {
        ++s.stats.lost_attempts;
        t.health = with_lost(t.health, s.init.limits, now);
    }
    else
        t.health = with_dropped(t.health);
    if (m.how == attempt_end::turned_away)
        back_off(s, t, now);
    tell_view(s, t, now, out);
    settle(s, a, m, nullptr, now, out);
}

} // namespace

auto watch_request(dispatch_state& s, request_key key, time_point when) -> void
{
    auto& e = s.requests.at(key);
    if (e.looked_at <= when)
        return;
    e.looked_at = when;
    arm(s, when, request_due{key});
}

auto on_caller_request(dispatch_state& s, caller_request const& e,
    time_point now, commands& out) -> void
{
    ++s.stats.requests;
    s.last_request = now;
    if (s.config == nullptr)
        return refuse(s, e, nullptr,
            {refusal_reason::not_ready,
                retry_delay(s, refusal_reason::not_ready, {}, now)},
            out);
    auto const* r = find_route(*s.config, e.request->host, e.request->target);
    if (r == nullptr)
        return refuse(s, e, nullptr, {refusal_reason::no_route, {}}, out);
    if (e.request->id.empty())
        return refuse(s, e, r, {refusal_reason::bad_request, {}}, out);
    auto entry = request_entry{};
    entry.value = open(s, e, *r, now);
    for (auto const& name : wanted_services(s, *r))
    {
        auto p = part{};
        p.service = id_of<service_id>(name);
        entry.parts.push_back(p);
    }
    entry.answers.resize(entry.parts.size());
    entry.open = static_cast<std::uint32_t>(entry.parts.size());
    if (entry.parts.empty() || is_hopeless(s, entry, now) ||
        s.requests.size() >= s.init.limits.max_requests)
    {
        auto const why = s.requests.size() >= s.init.limits.max_requests
                             ? refusal_reason::overloaded
                             : refusal_reason::no_target;
        return refuse(
            s, e, r, {why, retry_delay(s, why, entry.parts, now)}, out);
    }
    auto const key = next_handle<request_key>(s);
    auto const n = entry.open;
    s.callers.emplace(e.caller, key);
    s.requests.emplace(key, std::move(entry));
    for (std::uint32_t i = 0; i < n; ++i)
        if (place(s, {key, i}, attempt_kind::first, now, out) ==
            placed::nowhere)
            fail_part(s.requests.at(key), s.requests.at(key).parts[i], now);
    conclude(s, key, now, out);
    if (auto const it = s.requests.find(key); it != s.requests.end())
        watch_request(s, key, next_look(s, it->second, now));
}

auto on_caller_gone(dispatch_state& s, caller_gone const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.callers.find(e.caller);
    if (it == s.callers.end())
        return;
    auto const key = it->second;
    auto const& r = s.requests.at(key);
    if (r.value.by->repeat == repeatability::idempotent)
        for (auto const& p : r.parts)
            for (auto const id : p.running)
                abandon(s, id, hang_up_patience, now);
    drop_request(s, key, now, out);
}

auto on_replied(dispatch_state& s, target_replied const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.links.find(e.connection);
    if (it == s.links.end() || it->second.attempt != e.attempt)
        return;
    auto l = it->second;
    l.replied = true;
    auto const a = s.attempts.at(e.attempt);
    auto const m = meaning_of(e.reply);
    auto& t = s.targets.at(l.to);
    auto const good = m.how == attempt_end::success;
    auto const ratio = good ? observe_latency(s, a, t, now) : 0;
    auto const overdue = now - a.sent_at > a.patience;
    if (overdue && !a.overdue)
        t.health = with_overdue(t.health, s.init.limits, now);
    t.health = with_reply(t.health, ratio, !good, overdue, s.init.limits, now);
    t.open_failures = 0;
    s.stats.overload_replies += m.how == attempt_end::overloaded ? 1 : 0;
    s.stats.unusable_replies += m.how == attempt_end::unusable ? 1 : 0;
    s.attempts.erase(a.id);
    if (m.how == attempt_end::wrong_target)
        displace(s, t, out);
    if (e.reusable && is_usable(t, now))
        give_back(s, l, e.idle_limit, now);
    else
        close_link(s, l.id, out);
    tell_view(s, t, now, out);
    settle(s, a, m, &e.reply, now, out);
    serve_queue(s, t.service, now, out);
    keep_spare(s, t, now, out);
}

auto on_closed(dispatch_state& s, connection_closed const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.links.find(e.connection);
    if (it == s.links.end())
        return;
    auto const l = it->second;
    if (l.state == link_state::opening)
        return on_not_opened(s, l, now, out);
    if (l.state == link_state::busy)
        lose_attempt(s, s.attempts.at(l.attempt), l, e, now, out);
    else if (was_turned_away(s, l, e.how, now))
        return on_not_opened(s, l, now, out);
    else
        forget_link(s, l);
    auto& t = s.targets.at(l.to);
    serve_queue(s, t.service, now, out);
    keep_spare(s, t, now, out);
}

auto on_request_due(dispatch_state& s, request_due const& e, time_point now,
    commands& out) -> void
{
    auto it = s.requests.find(e.request);
    if (it == s.requests.end())
        return;
    it->second.looked_at = time_point::max();
    if (now >= it->second.value.queue_until)
        limit_queueing(s, it->second, now);
    for (std::uint32_t i = 0; i < it->second.parts.size(); ++i)
        if (needs_hedge(it->second.parts[i]) &&
            now >= hedge_time(s, it->second.parts[i]))
            hedge(s, {e.request, i}, now, out);
    conclude(s, e.request, now, out);
    it = s.requests.find(e.request);
    if (it != s.requests.end())
        watch_request(s, e.request, next_look(s, it->second, now));
}

auto on_loser_due(dispatch_state& s, loser_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.attempts.find(e.attempt);
    if (it == s.attempts.end())
        return;
    auto const a = it->second;
    auto& t = s.targets.at(a.to);
    t.health = silence(t.health, now) >= now - a.sent_at
                   ? with_silence(t.health, s.init.limits, now)
                   : with_dropped(t.health);
    s.attempts.erase(a.id);
    close_link(s, a.over, out);
    tell_view(s, t, now, out);
    serve_queue(s, t.service, now, out);
    keep_spare(s, t, now, out);
}

auto on_nowhere(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto const it = s.requests.find(key.request);
    if (it == s.requests.end())
        return;
    auto& p = it->second.parts[key.index];
    if (is_running(p))
        return;
    fail_part(it->second, p, now);
    conclude(s, key.request, now, out);
}

} // namespace knapweedstream::dispatch
