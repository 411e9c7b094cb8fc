#include "core/target.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto latency_gain = 0.1;      ///< Weight of a new latency sample.
constexpr auto shed_limit_factor = 0.5; ///< Applied on an overload answer.
constexpr auto sheds_until_cold = 3u;   ///< Consecutive overload answers.
constexpr auto max_ejection_doublings = 5u;

/// Limit of a warming target: grows linearly from its cold limit to `full`.
auto ramp(target const& t, std::uint32_t full, time_point since, time_point now)
    -> std::uint32_t
{
    auto const low = std::min(t.limits.cold_concurrency, full);
    auto const total = duration{t.limits.warmup}.count();
    auto const passed =
        std::clamp<duration::rep>((now - since).count(), 0, total);
    if (total == 0)
        return full;
    auto const extra = (full - low) * passed / total;
    return low + static_cast<std::uint32_t>(extra);
}

} // namespace

auto concurrency_limit(
    target const& t, target_share const& share, time_point now) -> std::uint32_t
{
    auto const bounded = [&](std::uint32_t n)
    {
        auto const adaptive = std::max(1.0, t.limit);
        return adaptive < n ? static_cast<std::uint32_t>(adaptive) : n;
    };
    auto const cold_limit =
        std::min(t.limits.cold_concurrency, share.concurrency);
    return std::visit(
        overloaded{[&](cold const&) { return share.primary ? cold_limit : 0u; },
            [&](warming const& it)
            {
                return share.primary
                           ? bounded(ramp(t, share.concurrency, it.since, now))
                           : 0u;
            },
            [&](warm const&)
            {
                return bounded(share.concurrency);
            }},
        t.warmth_state);
}

auto is_warm(target const& t) -> bool
{
    return std::holds_alternative<warm>(t.warmth_state);
}

auto is_unavailable(target const& t, time_point now) -> bool
{
    return t.zone_out || t.removed || t.draining || now < t.ejected_until;
}

auto with_report(target const& t, target_report const& report) -> target
{
    auto next = t;
    if (report.boot != t.boot)
        next = with_restart(t);
    next.boot = report.boot;
    if (report.boot == t.reported_warm_boot)
        next.warmth_state = warm{};
    next.versions = report.versions;
    next.draining = report.draining;
    return next;
}

auto with_success(target const& t, double latency_us, time_point now) -> target
{
    auto next = t;
    next.failures = 0;
    next.sheds = 0;
    next.ejections = 0;
    next.limit = std::min(1e6, t.limit + 1 / std::max(1.0, t.limit));
    next.latency_us =
        t.latency_us == 0
            ? latency_us
            : t.latency_us + latency_gain * (latency_us - t.latency_us);
    next.warmth_state = std::visit(
        overloaded{[&](cold const&) -> warmth { return warming{now}; },
            [&](warming const& it) -> warmth
            {
                if (now - it.since < t.limits.warmup)
                    return it;
                return warm{};
            },
            [](warm const& it) -> warmth
            {
                return it;
            }},
        t.warmth_state);
    return next;
}

auto with_shed(target const& t, time_point) -> target
{
    auto next = t;
    auto const current = std::min<double>(t.limit, t.in_flight + 1.0);
    next.limit = std::max(1.0, current * shed_limit_factor);
    next.sheds = t.sheds + 1;
    if (next.sheds < sheds_until_cold)
        return next;
    next.warmth_state = cold{};
    next.reported_warm_boot = boot_id{};
    return next;
}

auto with_failure(target const& t, node_limits const& limits, bool may_eject,
    time_point now) -> target
{
    auto next = t;
    next.failures = t.failures + 1;
    if (next.failures < limits.ejection_failures || !may_eject)
        return next;
    auto const doublings = std::min(t.ejections, max_ejection_doublings);
    next.ejected_until = now + limits.ejection * (1u << doublings);
    next.ejections = t.ejections + 1;
    next.failures = 0;
    return next;
}

auto with_warmth(target const& t, boot_id boot, bool reported_warm) -> target
{
    auto next = t;
    next.reported_warm_boot = reported_warm ? boot : boot_id{};
    if (!reported_warm)
        next.warmth_state = cold{};
    else if (boot == t.boot)
        next.warmth_state = warm{};
    return next;
}

auto with_restart(target const& t) -> target
{
    auto next = t;
    next.boot = boot_id{};
    next.reported_warm_boot = boot_id{};
    next.warmth_state = cold{};
    next.limit = 1e6;
    next.sheds = 0;
    return next;
}

} // namespace knapweedstream
