#include "core/dispatch/requests.hpp"

#include "core/dispatch/answers.hpp"
#include "core/dispatch/attempts.hpp"
#include "core/dispatch/crashes.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/rollout_orders.hpp"
#include "core/dispatch/route_table.hpp"
#include "core/dispatch/search.hpp"
#include "core/dispatch/stop.hpp"

#include <algorithm>
#include <optional>

namespace knapweedstream::dispatch
{

namespace
{

/// A request may wait unsent for the latency objective divided by this.
constexpr auto queue_divisor = 4;
/// Interval of checks of a request that waits for connections to open.
constexpr auto connecting_recheck = milliseconds{10};
/// Interval of tries to hedge a part; the budget may have refilled meanwhile.
constexpr auto hedge_retry_pause = milliseconds{40};
/// A request that may have waited unread for longer counts as read late.
constexpr auto late_read = milliseconds{100};
/// How long an idempotent attempt may go on after its caller hung up.
constexpr auto hang_up_timeout = milliseconds{200};

/// Services that a request is sent to; for a split, one of them by weight.
auto needed_services(dispatch_state& s, route const& r)
    -> std::vector<std::string>
{
    if (auto const* split = std::get_if<to_split>(&r.to))
    {
        if (split->parts.empty())
            return {};
        auto const i = next_split_part(*split, s.split_credits[r.name]);
        return {split->parts[i].service};
    }
    return services_of(r);
}

/// Time that the caller and the route allow for a request.
auto time_allowed(routed_request const& r, route const& matched) -> duration
{
    auto const timeout = duration{matched.timeout};
    return r.deadline ? std::min(duration{*r.deadline}, timeout) : timeout;
}

auto make_open_request(dispatch_state& s, caller_request const& e,
    route const& r, time_point now) -> open_request
{
    auto const allowed = time_allowed(*e.request, r);
    auto const objective = duration{r.latency_objective};
    auto const margin = duration{s.init.limits.answer_margin};
    auto const begun = now - e.waited;
    auto v = open_request{};
    v.caller = e.caller;
    v.request = e.request;
    v.config = s.config;
    v.matched_route = &r;
    v.started = begun;
    v.deadline = std::min(exit_deadline(s) - margin,
        begun + std::max(duration{0}, allowed - margin));
    v.objective =
        std::min(v.deadline, begun + std::max(duration{0}, objective - margin));
    v.queue_until = std::min(v.deadline, now + objective / queue_divisor);
    return v;
}

/// True if the exit of this instance cuts short the time that an at-most-once
/// request may take. It is refused before it is sent: at another instance it
/// runs to its end, while here its outcome might stay unknown.
auto is_cut_short(
    dispatch_state const& s, open_request const& v, time_point now) -> bool
{
    if (v.matched_route->delivery != delivery_semantics::at_most_once)
        return false;
    auto const margin = duration{s.init.limits.answer_margin};
    auto const allowed = time_allowed(*v.request, *v.matched_route);
    return s.stop.requested && allowed > exit_deadline(s) - margin - now;
}

/// Reason to refuse a new request at once, if there is one: too few parts have
/// a usable target or would be sent within the queue limit, or too many
/// requests are open.
auto admission_refusal(dispatch_state& s, request_entry const& e,
    time_point now) -> std::optional<refusal_reason>
{
    auto possible = std::uint32_t{0};
    auto soon = std::uint32_t{0};
    for (auto const& p : e.parts)
    {
        auto const reconnecting =
            has_reconnecting_target(s, p.service, *e.value.matched_route, now);
        possible += reconnecting || has_target(s, p, e.value, now) ? 1 : 0;
        soon += reconnecting || expected_wait(s, p, e.value, now) <=
                                    e.value.queue_until - now
                    ? 1
                    : 0;
    }
    if (!meets_coverage(e, possible))
        return refusal_reason::no_target;
    if (!meets_coverage(e, soon) ||
        s.requests.size() >= s.init.limits.max_requests)
        return refusal_reason::overloaded;
    return std::nullopt;
}

auto needs_hedge(part const& p) -> bool
{
    return p.state == part_state::running && !p.queued && running_count(p) == 1;
}

/// When the only running attempt of a part is due to be hedged.
auto hedge_time(dispatch_state const& s, part const& p) -> time_point
{
    for (auto const id : p.running)
        if (auto const it = s.attempts.find(id); it != s.attempts.end())
            return std::max(
                it->second.sent_at + it->second.hedge_delay, p.hedge_after);
    return time_point::max();
}

/// Counts the running attempts of a part as overdue in their targets' health,
/// each attempt once.
auto note_overdue(dispatch_state& s, part const& p, time_point now) -> void
{
    for (auto const id : p.running)
    {
        auto const it = s.attempts.find(id);
        if (it == s.attempts.end() || it->second.overdue)
            continue;
        it->second.overdue = true;
        auto& h = s.targets.at(it->second.target).health;
        h = with_overdue(h, s.init.limits, now);
    }
}

/// Counts the only running attempt of a part as overdue and hedges the part, if
/// the route is idempotent and neither its number of attempts nor the retry
/// budget is used up.
auto hedge(dispatch_state& s, part_key const& key, time_point now,
    commands& out) -> void
{
    auto& e = s.requests.at(key.request);
    auto& p = e.parts[key.index];
    note_overdue(s, p, now);
    if (e.value.matched_route->delivery != delivery_semantics::idempotent)
        return;
    auto const kind =
        now >= e.value.objective ? attempt_kind::rescue : attempt_kind::hedge;
    auto const more = p.runs < e.value.matched_route->max_attempts;
    p.hedge_after = more ? now + hedge_retry_pause : time_point::max();
    if (may_send_again(s, e, p) && within_budget(s, e, p, kind, now))
        place(s, key, kind, now, out);
    else if (more)
        report_budget_refusal(s, e, p, kind, now, out);
}

/// Handles the end of a request's queueing time. If no part was sent, the
/// request waits on while a connection for every part is about to open and the
/// objective is not reached; otherwise its parts fail and it is refused as
/// overloaded.
auto limit_queueing(dispatch_state& s, request_entry& e, time_point now) -> void
{
    auto const sent = std::any_of(e.parts.begin(), e.parts.end(),
        [](part const& p) { return p.sends > 0; });
    if (sent)
        return;
    auto const soon = std::all_of(e.parts.begin(), e.parts.end(),
        [&](part const& p)
        { return is_connecting(s, p.service, *e.value.matched_route, now); });
    auto const late = now + connecting_recheck >= e.value.objective;
    if (soon && !late)
    {
        e.value.queue_until = now + connecting_recheck;
        return;
    }
    e.refusal = refusal_reason::overloaded;
    for (auto& p : e.parts)
        fail_part(e, p, now);
}

/// Next time at which something is due for the request: the deadline, the
/// objective, the queue limit, a retry or a hedge.
auto next_due_time(dispatch_state const& s, request_entry const& e,
    time_point now) -> time_point
{
    auto when = e.value.deadline;
    auto const consider = [&](time_point t)
    {
        if (t > now)
            when = std::min(when, t);
    };
    consider(e.value.objective);
    consider(e.value.queue_until);
    for (auto const& p : e.parts)
        if (waits_to_retry(p))
            consider(p.retry_at);
    if (e.value.matched_route->delivery == delivery_semantics::idempotent)
        for (auto const& p : e.parts)
            if (needs_hedge(p))
                consider(hedge_time(s, p));
    return when;
}

} // namespace

auto arm_request_timer(dispatch_state& s, request_key key, time_point when)
    -> void
{
    auto& e = s.requests.at(key);
    if (e.due_at <= when)
        return;
    e.due_at = when;
    arm(s, when, request_due{key});
}

auto on_caller_request(dispatch_state& s, caller_request const& e,
    time_point now, commands& out) -> void
{
    ++s.stats.requests;
    s.stats.read_late += e.waited >= duration{late_read} ? 1 : 0;
    s.last_request = now;
    if (s.config == nullptr || is_closing(s, now))
        return refuse(s, e, nullptr,
            {refusal_reason::not_ready,
                retry_delay(s, refusal_reason::not_ready)},
            out);
    auto const* r = find_route(*s.config, e.request->host, e.request->target);
    if (r == nullptr)
        return refuse(s, e, nullptr, {refusal_reason::no_route, {}}, out);
    if (e.request->id.empty())
        return refuse(s, e, r, {refusal_reason::bad_request, {}}, out);
    if (is_deadly(s, *e.request, now))
        return refuse(s, e, r, {refusal_reason::deadly, {}}, out);
    auto entry = request_entry{};
    entry.value = make_open_request(s, e, *r, now);
    if (is_cut_short(s, entry.value, now))
        return refuse(s, e, r,
            {refusal_reason::not_ready,
                retry_delay(s, refusal_reason::not_ready)},
            out);
    if (entry.value.deadline <= now)
        return refuse(s, e, r,
            {refusal_reason::overloaded,
                retry_delay(s, refusal_reason::overloaded)},
            out);
    for (auto const& name : needed_services(s, *r))
    {
        auto p = part{};
        p.service = id_of<service_id>(name);
        p.side = next_side(s, p.service);
        entry.parts.push_back(p);
    }
    entry.answers.resize(entry.parts.size());
    entry.pending_parts = static_cast<std::uint32_t>(entry.parts.size());
    if (auto const why = admission_refusal(s, entry, now))
        return refuse(s, e, r, refusal_of(s, entry, *why, now), out);
    auto const key = next_handle<request_key>(s);
    auto const n = entry.pending_parts;
    s.callers.emplace(e.caller, key);
    s.requests.emplace(key, std::move(entry));
    for (std::uint32_t i = 0; i < n; ++i)
        if (place(s, {key, i}, attempt_kind::first, now, out) ==
            place_result::unplaced)
            fail_part(s.requests.at(key), s.requests.at(key).parts[i], now);
    answer_if_due(s, key, now, out);
    if (auto const it = s.requests.find(key); it != s.requests.end())
        arm_request_timer(s, key, next_due_time(s, it->second, now));
}

auto on_caller_gone(dispatch_state& s, caller_gone const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.callers.find(e.caller);
    if (it == s.callers.end())
        return;
    auto const key = it->second;
    auto const& r = s.requests.at(key);
    if (r.value.matched_route->delivery == delivery_semantics::idempotent)
        for (auto const& p : r.parts)
            for (auto const id : p.running)
                abandon(s, id, hang_up_timeout, now);
    drop_request(s, key, now, out);
}

auto on_request_due(dispatch_state& s, request_due const& e, time_point now,
    commands& out) -> void
{
    auto it = s.requests.find(e.request);
    if (it == s.requests.end())
        return;
    it->second.due_at = time_point::max();
    if (now >= it->second.value.queue_until)
        limit_queueing(s, it->second, now);
    for (std::uint32_t i = 0; i < it->second.parts.size(); ++i)
        if (needs_hedge(it->second.parts[i]) &&
            now >= hedge_time(s, it->second.parts[i]))
            hedge(s, {e.request, i}, now, out);
    retry_parts(s, e.request, now, out);
    answer_if_due(s, e.request, now, out);
    it = s.requests.find(e.request);
    if (it != s.requests.end())
        arm_request_timer(s, e.request, next_due_time(s, it->second, now));
}

} // namespace knapweedstream::dispatch
