#include "core/dispatch/requests.hpp"

#include "core/dispatch/answers.hpp"
#include "core/dispatch/attempts.hpp"
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

constexpr auto queue_share = 4; ///< Part of the objective spent in a queue.
/// Between looks at a request that waits for connections.
constexpr auto connecting_look = milliseconds{10};
/// Between tries to hedge a part, since the budget fills up again.
constexpr auto hedge_again = milliseconds{40};
/// For attempts whose caller hung up.
constexpr auto hang_up_patience = milliseconds{200};

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

auto open(dispatch_state& s, caller_request const& e, route const& r,
    time_point now) -> open_request
{
    auto const timeout = duration{r.timeout};
    auto const stated =
        e.request->deadline ? duration{*e.request->deadline} : timeout;
    auto const objective = duration{r.latency_objective};
    auto const margin = duration{s.init.limits.answer_margin};
    auto v = open_request{};
    v.caller = e.caller;
    v.request = e.request;
    v.config = s.config;
    v.by = &r;
    v.started = now;
    v.deadline = std::min(leave_time(s) - margin,
        now + std::max(duration{0}, std::min(stated, timeout) - margin));
    v.objective =
        std::min(v.deadline, now + std::max(duration{0}, objective - margin));
    v.queue_until = std::min(v.deadline, now + objective / queue_share);
    return v;
}

/// Why a request cannot be served now, if so.
auto obstacle(dispatch_state& s, request_entry const& e, time_point now)
    -> std::optional<refusal_reason>
{
    auto possible = std::uint32_t{0};
    auto soon = std::uint32_t{0};
    for (auto const& p : e.parts)
    {
        auto const returns = may_come_back(s, p.service, *e.value.by, now);
        possible += returns || has_target(s, p, e.value, now) ? 1 : 0;
        soon += returns || expected_wait(s, p, e.value, now) <=
                               e.value.queue_until - now
                    ? 1
                    : 0;
    }
    if (!enough(e, possible))
        return refusal_reason::no_target;
    if (!enough(e, soon) || s.requests.size() >= s.init.limits.max_requests)
        return refusal_reason::overloaded;
    return std::nullopt;
}

auto needs_hedge(part const& p) -> bool
{
    return p.state == part_state::running && !p.queued && running_count(p) == 1;
}

/// When the one running attempt of a part has taken too long.
auto hedge_time(dispatch_state const& s, part const& p) -> time_point
{
    for (auto const id : p.running)
        if (auto const it = s.attempts.find(id); it != s.attempts.end())
            return std::max(
                it->second.sent_at + it->second.patience, p.hedge_after);
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
    if (e.value.by->delivery != delivery_semantics::idempotent)
        return;
    auto const kind =
        now >= e.value.objective ? attempt_kind::rescue : attempt_kind::hedge;
    auto const more = p.runs < e.value.by->max_attempts;
    p.hedge_after = more ? now + hedge_again : time_point::max();
    if (may_send_again(s, e, p) && can_pay(s, e, p, kind, now))
        place(s, key, kind, now, out);
    else if (more)
        tell_budget(s, e, p, kind, now, out);
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
    for (auto const& p : e.parts)
        if (waits_to_retry(p))
            consider(p.retry_at);
    if (e.value.by->delivery == delivery_semantics::idempotent)
        for (auto const& p : e.parts)
            if (needs_hedge(p))
                consider(hedge_time(s, p));
    return when;
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
    auto entry = request_entry{};
    entry.value = open(s, e, *r, now);
    for (auto const& name : wanted_services(s, *r))
    {
        auto p = part{};
        p.service = id_of<service_id>(name);
        p.side = next_side(s, p.service);
        entry.parts.push_back(p);
    }
    entry.answers.resize(entry.parts.size());
    entry.open = static_cast<std::uint32_t>(entry.parts.size());
    if (auto const why = obstacle(s, entry, now))
        return refuse(s, e, r, {*why, retry_delay(s, *why)}, out);
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
    if (r.value.by->delivery == delivery_semantics::idempotent)
        for (auto const& p : r.parts)
            for (auto const id : p.running)
                abandon(s, id, hang_up_patience, now);
    drop_request(s, key, now, out);
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
    retry_parts(s, e.request, now, out);
    conclude(s, e.request, now, out);
    it = s.requests.find(e.request);
    if (it != s.requests.end())
        watch_request(s, e.request, next_look(s, it->second, now));
}

} // namespace knapweedstream::dispatch
