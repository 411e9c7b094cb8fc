#include "core/dispatch/attempts.hpp"

#include "core/dispatch/answers.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/requests.hpp"
#include "core/dispatch/rollout_orders.hpp"
#include "core/dispatch/room.hpp"
#include "core/dispatch/search.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto retry_pause = milliseconds{20};

auto abandon_others(dispatch_state& s, part& p, time_point now) -> void
{
    for (auto& id : p.running)
        if (id != attempt_id{})
        {
            abandon(s, id, s.init.limits.loser_patience, now);
            id = {};
        }
}

/// Sends a part again after an attempt that brought nothing, lets it wait for
/// the budget, or fails it.
auto try_again(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    if (!is_open(p) || p.queued || running_count(p) > 0)
        return;
    if (!may_send_again(s, e, p))
        return fail_part(e, p, now);
    if (!can_pay(s, e, p, kind, now))
    {
        tell_budget(s, e, p, kind, now, out);
        return wait_to_retry(s, key, now);
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
    out.push_back(report_fact{
        target_condition_changed{t.info.name, t.info.service, t.info.address,
            target_condition::displaced, "reply=wrong_target", t.revision}});
}

auto tell_failure(dispatch_state& s, attempt const& a, reply_meaning const& m,
    time_point now, commands& out) -> void
{
    auto const r = s.requests.find(a.part.request);
    auto const t = s.targets.find(a.to);
    if (r == s.requests.end() || t == s.targets.end())
        return;
    out.push_back(report_fact{
        attempt_failed{r->second.value.request->id, t->second.info.service,
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
    if (!is_open(p))
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
    if (m.how == attempt_end::overloaded && !has_untried(s, p, e.value, now) &&
        may_send_again(s, e, p))
        wait_to_retry(s, a.part, now);
    else
        try_again(s, a.part, again, now, out);
    conclude(s, a.part.request, now, out);
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
        r->second.value.by->delivery == delivery_semantics::idempotent;
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
        note_version_result(s, t, true, now - a.sent_at);
    }
    else
        t.health = with_dropped(t.health);
    if (m.how == attempt_end::turned_away)
        back_off(s, t, now);
    tell_view(s, t, now, out);
    settle(s, a, m, nullptr, now, out);
}

} // namespace

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

auto may_send_again(
    dispatch_state const& s, request_entry const& e, part const& p) -> bool
{
    auto const& r = *e.value.by;
    auto const ran_once =
        r.delivery == delivery_semantics::at_most_once && p.runs > 0;
    return !ran_once && p.runs < r.max_attempts &&
           p.sends < r.max_attempts + s.init.limits.spare_sends;
}

auto wait_to_retry(dispatch_state& s, part_key const& key, time_point now)
    -> void
{
    auto& p = s.requests.at(key.request).parts[key.index];
    p.state = part_state::waiting;
    p.retry_at = now + retry_pause;
    watch_request(s, key.request, p.retry_at);
}

auto retry_parts(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void
{
    auto const n = s.requests.at(key).parts.size();
    for (std::uint32_t i = 0; i < n; ++i)
    {
        auto const& p = s.requests.at(key).parts[i];
        if (waits_to_retry(p) && now >= p.retry_at)
            try_again(s, {key, i}, attempt_kind::retry, now, out);
    }
}

auto tell_budget(dispatch_state& s, request_entry const& e, part& p,
    attempt_kind kind, time_point now, commands& out) -> void
{
    if (p.over_budget || can_pay(s, e, p, kind, now))
        return;
    p.over_budget = true;
    ++s.stats.budget_refusals;
    out.push_back(report_fact{budget_exhausted{
        e.value.request->id, s.services.at(p.service).name, kind}});
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
    auto const full = m.how == attempt_end::overloaded;
    t.room = with_sample(t.room,
        {now - a.sent_at, a.late_after, full, good, t.health.in_flight}, now);
    auto const ratio = good ? observe_latency(s, a, t, now) : 0;
    auto const overdue = now - a.sent_at > a.patience;
    if (overdue && !a.overdue)
        t.health = with_overdue(t.health, s.init.limits, now);
    t.health = with_reply(t.health, ratio, !good, overdue, s.init.limits, now);
    if (m.ran)
        note_version_result(s, t, !good, now - a.sent_at);
    t.open_failures = 0;
    s.stats.overload_replies += full ? 1 : 0;
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
    if (running_count(p) > 0)
        return;
    fail_part(it->second, p, now);
    conclude(s, key.request, now, out);
}

} // namespace knapweedstream::dispatch
