#include "core/target.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto latency_gain = 0.1;    ///< Weight of a new sample.
constexpr auto limit_decrease = 0.5;  ///< After an overload answer.
constexpr auto sheds_until_cold = 3u; ///< In a row.
constexpr auto max_ejection_doublings = 5u;

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
    auto const first = std::min(t.limits.cold_concurrency, share.concurrency);
    return std::visit(
        overloaded{[&](cold const&) { return share.primary ? first : 0u; },
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
        t.heat);
}

auto is_warm(target const& t) -> bool
{
    return std::holds_alternative<warm>(t.heat);
}

auto is_out(target const& t, time_point now) -> bool
{
    return t.zone_out || t.removed || t.draining || now < t.ejected_until;
}

auto with_report(target const& t, target_report const& report) -> target
{
    auto next = t;
    if (report.boot != t.boot)
        next = with_restart(t);
    next.boot = report.boot;
    if (report.boot == t.warm_boot)
        next.heat = warm{};
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
    next.heat = std::visit(
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
        t.heat);
    return next;
}

auto with_shed(target const& t, time_point) -> target
{
    auto next = t;
    auto const current = std::min<double>(t.limit, t.in_flight + 1.0);
    next.limit = std::max(1.0, current * limit_decrease);
    next.sheds = t.sheds + 1;
    if (next.sheds < sheds_until_cold)
        return next;
    next.heat = cold{};
    next.warm_boot = boot_id{};
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

auto with_warmth(target const& t, boot_id boot, bool told_warm) -> target
{
    auto next = t;
    next.warm_boot = told_warm ? boot : boot_id{};
    if (!told_warm)
        next.heat = cold{};
    else if (boot == t.boot)
        next.heat = warm{};
    return next;
}

auto with_restart(target const& t) -> target
{
    auto next = t;
    next.boot = boot_id{};
    next.warm_boot = boot_id{};
    next.heat = cold{};
    next.limit = 1e6;
    next.sheds = 0;
    return next;
}

} // namespace knapweedstream
