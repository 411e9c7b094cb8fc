#include "core/dispatch/answers.hpp"

#include "core/dispatch/parts.hpp"
#include "core/dispatch/route_table.hpp"
#include "core/dispatch/search.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace knapweedstream::dispatch
{

namespace
{

// Delays before a refused caller should retry, by the cause of the refusal.
constexpr auto starting_delay = milliseconds{200};
constexpr auto store_unavailable_delay = milliseconds{1'000};
constexpr auto no_target_delay = milliseconds{400};
constexpr auto overload_delay = milliseconds{150};

/// Time after which the cause of a refusal is likely to be over; 0 if it does
/// not end by itself.
auto usual_delay(dispatch_state const& s, refusal_reason why) -> duration
{
    switch (why)
    {
    case refusal_reason::not_ready:
        return s.contact.probing ? store_unavailable_delay : starting_delay;
    case refusal_reason::no_target:
    case refusal_reason::out_of_region:
    case refusal_reason::paused:
        return no_target_delay;
    case refusal_reason::overloaded:
    case refusal_reason::no_budget:
        return overload_delay;
    case refusal_reason::no_route:
    case refusal_reason::bad_request:
    case refusal_reason::deadly:
        break;
    }
    return duration{0};
}

auto is_answer_due(request_entry const& e, time_point now) -> bool
{
    if (e.pending_parts == 0 || now >= e.value.deadline)
        return true;
    if (!meets_coverage(e, e.answered_parts + e.pending_parts))
        return true;
    return now >= e.value.objective && meets_coverage(e, e.answered_parts);
}

/// Merges the answers of the parts; the failed and pending ones are missing.
auto merged(request_entry const& e, to_shards const& to) -> answer_merged
{
    auto a = answer_merged{};
    auto parts = std::vector<std::string_view>{};
    for (std::size_t i = 0; i < e.parts.size(); ++i)
        if (e.parts[i].state == part_state::answered)
        {
            a.signatures.push_back(e.answers[i].signature);
            parts.push_back(e.answers[i].body);
        }
    a.missing = static_cast<std::uint32_t>(e.parts.size() - parts.size());
    a.records = merge_records(parts, to.top_k);
    return a;
}

auto failure_of(request_entry const& e, time_point now) -> failure_reason
{
    if (std::holds_alternative<to_shards>(e.value.matched_route->to))
        return failure_reason::coverage;
    return now >= e.value.deadline ? failure_reason::timeout
                                   : failure_reason::connection_lost;
}

/// True if an attempt may have run or may still run.
auto has_run(request_entry const& e) -> bool
{
    return std::any_of(e.parts.begin(), e.parts.end(),
        [](part const& p) { return p.runs > 0; });
}

auto answer_of(dispatch_state& s, request_entry const& e, time_point now)
    -> caller_answer
{
    auto const* shards = std::get_if<to_shards>(&e.value.matched_route->to);
    if (shards != nullptr && meets_coverage(e, e.answered_parts))
        return merged(e, *shards);
    if (shards == nullptr && e.answered_parts > 0)
        return answer_relayed{e.answers.front()};
    if (shards == nullptr && e.failure.status != 0)
        return answer_relayed{e.failure};
    if (!has_run(e))
        return refusal_of(s, e, e.refusal, now);
    return answer_failed{failure_of(e, now)};
}

auto summary_of(dispatch_state const& s, part const& p, time_point now)
    -> part_summary
{
    auto const service = s.services.find(p.service);
    auto const target = s.targets.find(p.last_target);
    auto const end = p.ended_at == time_point{} ? now : p.ended_at;
    auto sum = part_summary{};
    sum.service = service == s.services.end() ? "" : service->second.name;
    sum.target = target == s.targets.end() ? "" : target->second.info.name;
    sum.sent = p.sends;
    sum.took = p.sends == 0 ? duration{0} : end - p.first_sent;
    sum.answered = p.state == part_state::answered;
    return sum;
}

auto describe_end(dispatch_state& s, caller_answer const& a, request_ended& end)
    -> void
{
    std::visit(overloaded{[&](answer_refused const& it)
                   {
                       ++s.stats.refused;
                       end.how = request_end::refused;
                       end.reason = name_of(it.reason);
                       end.retry_after = it.retry_after;
                   },
                   [&](answer_relayed const& it)
                   {
                       auto const good =
                           it.message.status >= 200 && it.message.status < 300;
                       ++(good ? s.stats.complete : s.stats.failed);
                       end.how =
                           good ? request_end::complete : request_end::failed;
                       end.status = it.message.status;
                   },
                   [&](answer_merged const& it)
                   {
                       ++(it.missing == 0 ? s.stats.complete : s.stats.partial);
                       end.how = it.missing == 0 ? request_end::complete
                                                 : request_end::partial;
                   },
                   [&](answer_failed const& it)
                   {
                       ++s.stats.failed;
                       end.how = request_end::failed;
                       end.reason = name_of(it.reason);
                   }},
        a);
}

auto ended(dispatch_state const& s, request_entry const& e, time_point now)
    -> request_ended
{
    auto end = request_ended{};
    end.request = e.value.request->id;
    end.route = e.value.matched_route->name;
    end.config = e.value.config->version;
    end.elapsed = now - e.value.started;
    end.deadline = e.value.deadline - e.value.started;
    for (auto const& p : e.parts)
        end.parts.push_back(summary_of(s, p, now));
    return end;
}

/// Abandons the attempts still in flight. An idempotent one may still end
/// within `abandoned_timeout`, an at-most-once one within that after the
/// deadline.
auto abandon_attempts(dispatch_state& s, request_entry const& e, time_point now)
    -> void
{
    auto const once =
        e.value.matched_route->delivery == delivery_semantics::at_most_once;
    for (auto const& p : e.parts)
        for (auto const id : p.running)
            if (auto const it = s.attempts.find(id);
                it != s.attempts.end() && !it->second.abandoned)
            {
                it->second.abandoned = true;
                auto const timeout = duration{s.init.limits.abandoned_timeout};
                arm(s, once ? e.value.deadline + timeout : now + timeout,
                    abandoned_due{id});
            }
}

auto erase(dispatch_state& s, request_key key) -> void
{
    s.callers.erase(s.requests.at(key).value.caller);
    s.requests.erase(key);
}

} // namespace

auto answer_if_due(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void
{
    auto const it = s.requests.find(key);
    if (it == s.requests.end() || !is_answer_due(it->second, now))
        return;
    auto const& e = it->second;
    auto answer = answer_of(s, e, now);
    auto end = ended(s, e, now);
    describe_end(s, answer, end);
    abandon_attempts(s, e, now);
    out.push_back(answer_caller{e.value.caller, std::move(answer)});
    out.push_back(report_fact{std::move(end)});
    erase(s, key);
}

auto drop_request(
    dispatch_state& s, request_key key, time_point now, commands& out) -> void
{
    auto const& e = s.requests.at(key);
    auto end = ended(s, e, now);
    end.how = request_end::abandoned;
    ++s.stats.abandoned;
    abandon_attempts(s, e, now);
    out.push_back(report_fact{std::move(end)});
    erase(s, key);
}

auto refuse(dispatch_state& s, caller_request const& e, route const* matched,
    answer_refused const& why, commands& out) -> void
{
    ++s.stats.refused;
    auto end = request_ended{};
    end.request = e.request->id;
    end.route = matched == nullptr ? "" : matched->name;
    end.config = s.config == nullptr ? 0 : s.config->version;
    end.how = request_end::refused;
    end.reason = name_of(why.reason);
    end.retry_after = why.retry_after;
    out.push_back(answer_caller{e.caller, why});
    out.push_back(report_fact{std::move(end)});
}

auto refusal_of(dispatch_state& s, request_entry const& e, refusal_reason why,
    time_point now) -> answer_refused
{
    auto end = time_point{};
    for (auto const& p : e.parts)
        if (p.state != part_state::answered)
            end = std::max(end, end_of_pause(s, p, *e.value.matched_route, now)
                                    .value_or(time_point{}));
    auto const usual = retry_delay(s, why);
    if (end <= now)
        return {why, usual};
    return {refusal_reason::paused, std::max(usual, end - now)};
}

auto retry_delay(dispatch_state& s, refusal_reason why) -> duration
{
    constexpr auto spread = 0.25; ///< Largest change, up or down.
    auto const usual = usual_delay(s, why);
    auto const factor = 1 - spread + 2 * spread * draw_fraction(s);
    return scaled(usual, factor);
}

auto name_of(refusal_reason it) -> char const*
{
    constexpr auto names =
        std::array{"not_ready", "no_route", "bad_request", "no_target",
            "overloaded", "no_budget", "deadly", "out_of_region", "paused"};
    return names.at(static_cast<std::size_t>(it));
}

auto name_of(failure_reason it) -> char const*
{
    constexpr auto names =
        std::array{"timeout", "connection_lost", "target_failed", "coverage"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace knapweedstream::dispatch
