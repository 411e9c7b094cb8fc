#include "core/dispatch/attempts.hpp"

#include "core/dispatch/answers.hpp"
#include "core/dispatch/attempt_outcome.hpp"
#include "core/dispatch/charges.hpp"
#include "core/dispatch/concurrency_limit.hpp"
#include "core/dispatch/crashes.hpp"
#include "core/dispatch/hear_notices.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/requests.hpp"
#include "core/dispatch/rollout_orders.hpp"
#include "core/dispatch/search.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto retry_pause = milliseconds{20}; ///< Before a scheduled retry.

auto abandon_others(dispatch_state& s, part& p, time_point now) -> void
{
    for (auto& id : p.running)
        if (id != attempt_id{})
        {
            abandon(s, id, s.init.limits.abandoned_timeout, now);
            id = {};
        }
}

/// After an unsuccessful attempt: sends the part again, schedules a retry if
/// the budget refuses it now, or fails the part. Does nothing while another
/// attempt is running or queued.
auto try_again(dispatch_state& s, part_key const& key, attempt_kind kind,
    time_point now, commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    if (!is_open(p) || p.queued || running_count(p) > 0)
        return;
    if (!may_send_again(s, e, p) || is_deadly(s, *e.value.request, now))
        return fail_part(e, p, now);
    if (!within_budget(s, e, p, kind, now))
    {
        report_budget_refusal(s, e, p, kind, now, out);
        return schedule_retry(s, key, now);
    }
    if (place(s, key, kind, now, out) == place_result::unplaced)
        fail_part(e, p, now);
}

auto accept(dispatch_state& s, attempt const& a, target_message const& m,
    time_point now) -> void
{
    auto& e = s.requests.at(a.part.request);
    auto& p = e.parts[a.part.index];
    p.state = part_state::answered;
    p.last_target = a.target;
    p.ended_at = now;
    e.answers[a.part.index] = m;
    --e.pending_parts;
    ++e.answered_parts;
    abandon_others(s, p, now);
    note_answered(s, e, now);
}

/// Adds the latency of a successful attempt to the estimate of its route,
/// unless the target's version is on trial: that is compared with the others.
///
/// @returns Its ratio to the typical latency; 0 if that is unknown or the
///     request has ended.
auto observe_latency(dispatch_state& s, attempt const& a, target_entry const& t,
    time_point now) -> double
{
    auto const it = s.requests.find(a.part.request);
    if (it == s.requests.end())
        return 0;
    auto& e = s.latencies[it->second.value.matched_route->name]
                  .at[static_cast<std::size_t>(t.distance)];
    auto const took = now - a.sent_at;
    auto const usual = typical_latency(e, duration{0});
    if (!is_on_trial(s, t))
        e = with_latency(e, took);
    return usual == duration{0} ? 0
                                : static_cast<double>(took.count()) /
                                      static_cast<double>(usual.count());
}

/// Marks a target as displaced: another target answers at its address. It gets
/// no more requests until it registers again.
auto displace(dispatch_state& s, target_entry& t, commands& out) -> void
{
    t.displaced = true;
    close_idle(s, t, out);
    out.push_back(report_fact{target_condition_changed{t.info.name,
        t.info.service, t.info.address, target_condition::displaced,
        "reply=wrong_target", t.version.revision}});
}

auto report_failure(dispatch_state& s, attempt const& a,
    attempt_outcome const& m, time_point now, commands& out) -> void
{
    auto const r = s.requests.find(a.part.request);
    auto const t = s.targets.find(a.target);
    if (r == s.requests.end() || t == s.targets.end())
        return;
    out.push_back(report_fact{attempt_failed{r->second.value.request->id,
        t->second.info.service, t->second.info.name, m.how, m.status,
        now - a.sent_at, a.connection, now - a.connection_opened}});
}

/// Applies the outcome of an attempt to its part: answers, retries or fails it.
/// Ignores an attempt that was abandoned or whose request has ended.
///
/// @param[in] reply Null if the connection was lost.
auto finish_attempt(dispatch_state& s, attempt const& a,
    attempt_outcome const& m, target_reply const* reply, time_point now,
    commands& out) -> void
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
        return answer_if_due(s, a.part.request, now, out);
    }
    if (reply != nullptr)
        p.replied_on.push_back(a.connection);
    report_failure(s, a, m, now, out);
    auto const unsent = m.how == attempt_end::unsent;
    p.runs -= !m.ran && p.runs > 0 ? 1 : 0;
    p.sends -= unsent && p.sends > 0 ? 1 : 0;
    if (m.how == attempt_end::overloaded)
        e.refusal = refusal_reason::overloaded;
    if (reply != nullptr)
        if (auto const* f = std::get_if<reply_failure>(reply))
            e.failure = f->message;
    auto const again = unsent ? a.kind : attempt_kind::retry;
    if (m.how == attempt_end::overloaded && !has_untried(s, p, e.value, now) &&
        may_send_again(s, e, p))
        schedule_retry(s, a.part, now);
    else
        try_again(s, a.part, again, now, out);
    answer_if_due(s, a.part.request, now, out);
}

/// Records an attempt that was given up without a reply as slow if it took that
/// long; sooner, its end says nothing about the version.
auto record_unanswered(dispatch_state& s, target_entry const& t,
    attempt const& a, time_point now) -> void
{
    if (is_slow(a, now))
        record_version_result(s, t, a, false, now);
}

auto lose_attempt(dispatch_state& s, attempt const a, link const& l,
    connection_closed const& e, time_point now, commands& out) -> void
{
    auto const m = outcome_of_loss(s, l, e, now);
    s.attempts.erase(a.id);
    settle(s, a, now);
    remove_link(s, l);
    auto& t = s.targets.at(l.target);
    note_heard(t, now);
    if (m.how == attempt_end::lost)
    {
        ++s.stats.lost_attempts;
        t.health = with_lost(t.health, s.init.limits, now);
        record_version_result(s, t, a, true, now);
    }
    else
        t.health = without_request(t.health);
    if (m.how == attempt_end::turned_away)
        back_off(s, t, now);
    // A target that ends at once under a request looks as if it turned it away.
    if (m.how != attempt_end::unsent)
        note_lost(s, a, t, now);
    report_condition(s, t, now, out);
    finish_attempt(s, a, m, nullptr, now, out);
}

} // namespace

auto abandon(dispatch_state& s, attempt_id id, duration timeout, time_point now)
    -> void
{
    auto const it = s.attempts.find(id);
    if (it == s.attempts.end() || it->second.abandoned)
        return;
    auto next = it->second;
    next.abandoned = true;
    it->second = next;
    arm(s, now + timeout, abandoned_due{id});
}

auto may_send_again(
    dispatch_state const& s, request_entry const& e, part const& p) -> bool
{
    auto const& r = *e.value.matched_route;
    auto const ran_once =
        r.delivery == delivery_semantics::at_most_once && p.runs > 0;
    return !ran_once && p.runs < r.max_attempts &&
           p.sends < r.max_attempts + s.init.limits.spare_sends;
}

auto schedule_retry(dispatch_state& s, part_key const& key, time_point now)
    -> void
{
    auto& p = s.requests.at(key.request).parts[key.index];
    p.state = part_state::waiting;
    p.retry_at = now + retry_pause;
    arm_request_timer(s, key.request, p.retry_at);
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

auto report_budget_refusal(dispatch_state& s, request_entry const& e, part& p,
    attempt_kind kind, time_point now, commands& out) -> void
{
    if (p.over_budget || within_budget(s, e, p, kind, now))
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
    auto const m = outcome_of_reply(e.reply);
    auto& t = s.targets.at(l.target);
    auto const good = m.how == attempt_end::success;
    auto const refused = m.how == attempt_end::overloaded;
    t.concurrency = with_sample(t.concurrency,
        {now - a.sent_at, a.late_after, refused, good, t.health.in_flight},
        now);
    hear_notices(s, t, e.said, now, out);
    auto const ratio = good ? observe_latency(s, a, t, now) : 0;
    auto const overdue = now - a.sent_at > a.hedge_delay;
    if (overdue && !a.overdue)
        t.health = with_overdue(t.health, s.init.limits, now);
    t.health = with_reply(t.health, ratio, !good, overdue, s.init.limits, now);
    if (m.ran)
        record_version_result(s, t, a, !good, now);
    t.open_failures = 0;
    s.stats.overload_replies += refused ? 1 : 0;
    s.stats.unusable_replies += m.how == attempt_end::unusable ? 1 : 0;
    s.attempts.erase(a.id);
    settle(s, a, now);
    note_heard(t, now);
    settle_unread(s, t, a.sent_at, now);
    if (m.how == attempt_end::wrong_target)
        displace(s, t, out);
    if (e.reusable && is_usable(t, now))
        release_link(s, l, e.idle_limit, now);
    else
        close_link(s, l.id, out);
    report_condition(s, t, now, out);
    finish_attempt(s, a, m, &e.reply, now, out);
    serve_queue(s, t.service, now, out);
    preconnect(s, t, now, out);
}

auto on_closed(dispatch_state& s, connection_closed const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.links.find(e.connection);
    if (it == s.links.end())
        return;
    auto const l = it->second;
    if (e.how == connection_end::refused)
        note_ended(s, s.targets.at(l.target), now, out);
    if (l.state == link_state::opening)
        return on_open_failed(s, l, now, out);
    if (l.state == link_state::busy)
        lose_attempt(s, s.attempts.at(l.attempt), l, e, now, out);
    else if (was_turned_away(s, l, e.how, now))
        return on_open_failed(s, l, now, out);
    else
        remove_link(s, l);
    auto& t = s.targets.at(l.target);
    serve_queue(s, t.service, now, out);
    check_if_ended(s, t, now, out);
    preconnect(s, t, now, out);
}

auto on_abandoned_due(dispatch_state& s, abandoned_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.attempts.find(e.attempt);
    if (it == s.attempts.end())
        return;
    auto const a = it->second;
    auto& t = s.targets.at(a.target);
    t.health = silence(t.health, now) >= now - a.sent_at
                   ? with_timeout(t.health, s.init.limits, now)
                   : without_request(t.health);
    record_unanswered(s, t, a, now);
    s.attempts.erase(a.id);
    keep_unread(s, t, a, now);
    close_link(s, a.connection, out);
    report_condition(s, t, now, out);
    serve_queue(s, t.service, now, out);
    preconnect(s, t, now, out);
}

auto on_unplaced(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto const it = s.requests.find(key.request);
    if (it == s.requests.end())
        return;
    auto& p = it->second.parts[key.index];
    if (running_count(p) > 0)
        return;
    fail_part(it->second, p, now);
    answer_if_due(s, key.request, now, out);
}

} // namespace knapweedstream::dispatch
