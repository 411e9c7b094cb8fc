#include "core/dispatch/health.hpp"

#include "core/backoff.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedstream::dispatch
{

namespace
{

/// Weight of the newest latency in the slowness.
constexpr auto slowness_weight = 0.35;
/// Weight of the newest outcome in the failure rate.
constexpr auto failure_weight = 0.15;
/// The same if the connection was lost: its repeat may be the last one allowed.
constexpr auto lost_weight = 0.4;
/// A sample's latency ratio is clamped to this range.
constexpr auto min_ratio = 0.2;
constexpr auto max_ratio = 30.0;

/// Remaining weight of the observed values, from 1 (new) to 0.
auto decay_factor(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double
{
    auto const age = std::chrono::duration<double>(now - h.observed);
    auto const half = std::chrono::duration<double>(limits.estimate_half_life);
    return std::exp2(-std::max(0.0, age / half));
}

/// Suspends a target, for longer each time in a row. Has no effect on a
/// suspension that has not ended yet.
auto suspend(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health
{
    auto const* before = std::get_if<suspended>(&h.state);
    if (before != nullptr && now < before->until)
        return h;
    auto const times = before == nullptr ? 1u : before->times + 1;
    auto const wait = backoff_delay(
        limits.suspension_first, times - 1, limits.suspension_most);
    auto next = h;
    next.state = suspended{now + wait, times};
    return next;
}

/// Records the outcome of a request in the failure rate.
auto with_outcome(target_health const& h, bool failed, double weight,
    dispatch_limits const& limits, time_point now) -> target_health
{
    auto next = h;
    next.slowness = slowness_at(h, limits, now);
    next.failure_rate =
        failure_rate_at(h, limits, now) * (1 - weight) + (failed ? weight : 0);
    next.observed = now;
    return next;
}

} // namespace

auto with_sent(target_health const& h, time_point now) -> target_health
{
    auto next = h;
    if (h.in_flight == 0)
        next.silent_since = now;
    ++next.in_flight;
    return next;
}

auto without_request(target_health const& h) -> target_health
{
    auto next = h;
    next.in_flight -= h.in_flight > 0 ? 1 : 0;
    return next;
}

auto with_reply(target_health const& h, double ratio, bool failed, bool overdue,
    dispatch_limits const& limits, time_point now) -> target_health
{
    auto next =
        with_outcome(without_request(h), failed, failure_weight, limits, now);
    if (ratio > 0)
        next.slowness +=
            slowness_weight *
            (std::clamp(ratio, min_ratio, max_ratio) - next.slowness);
    next.silent_since = now;
    if (overdue)
        return std::holds_alternative<suspended>(next.state)
                   ? suspend(next, limits, now)
                   : next;
    next.state = healthy{};
    next.consecutive_overdue = 0;
    return next;
}

auto with_lost(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health
{
    return with_outcome(without_request(h), true, lost_weight, limits, now);
}

auto with_timeout(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health
{
    auto const next =
        with_outcome(without_request(h), true, failure_weight, limits, now);
    return suspend(next, limits, now);
}

auto with_overdue(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health
{
    auto next = h;
    ++next.consecutive_overdue;
    return next.consecutive_overdue < limits.overdue_until_suspended
               ? next
               : suspend(next, limits, now);
}

auto slowness_at(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double
{
    return 1 + (h.slowness - 1) * decay_factor(h, limits, now);
}

auto failure_rate_at(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double
{
    return h.failure_rate * decay_factor(h, limits, now);
}

auto admits_request(target_health const& h, time_point now) -> bool
{
    return std::visit(overloaded{[](healthy const&) { return true; },
                          [&](suspended const& it)
                          {
                              return now >= it.until && h.in_flight == 0;
                          }},
        h.state);
}

auto wants_probe(target_health const& h, time_point now) -> bool
{
    return std::holds_alternative<suspended>(h.state) && admits_request(h, now);
}

auto silence(target_health const& h, time_point now) -> duration
{
    return h.in_flight == 0 ? duration{0} : now - h.silent_since;
}

} // namespace knapweedstream::dispatch
