#include "core/rollout.hpp"

#include <algorithm>
#include <tuple>

namespace knapweedstream
{

namespace
{

/// Requests in a record before it is halved.
constexpr auto record_window = 2'000.0;

auto failure_ratio(version_record const& r) -> double
{
    return r.requests < 1 ? 0 : r.failures / r.requests;
}

auto mean_latency(version_record const& r) -> double
{
    auto const good = r.requests - r.failures;
    return good < 1 ? 0 : r.latency_us / good;
}

} // namespace

auto with_result(version_record const& r, bool failed, double latency_us)
    -> version_record
{
    auto const decay = r.requests >= record_window ? 0.5 : 1.0;
    return {r.requests * decay + 1, r.failures * decay + (failed ? 1 : 0),
        r.latency_us * decay + (failed ? 0 : latency_us)};
}

auto sum_of(version_record const& a, version_record const& b) -> version_record
{
    return {a.requests + b.requests, a.failures + b.failures,
        a.latency_us + b.latency_us};
}

auto compare_versions(version_record const& before, version_record const& after,
    rollout_policy const& policy) -> rollout_fault
{
    // This many failures show a fault even before `min_samples` requests.
    constexpr auto sufficient_failures = 5.0;
    auto const allowed = failure_ratio(before) + policy.max_failure_ratio;
    auto const too_many = failure_ratio(after) > allowed;
    if (too_many && after.failures >= sufficient_failures)
        return rollout_fault::failures;
    if (after.requests < policy.min_samples ||
        before.requests < policy.min_samples)
        return rollout_fault::none;
    if (too_many)
        return rollout_fault::failures;
    auto const limit = mean_latency(before) * policy.max_latency_ratio;
    return mean_latency(before) > 0 && mean_latency(after) > limit
               ? rollout_fault::latency
               : rollout_fault::none;
}

auto is_further(rollout const& a, rollout const& b) -> bool
{
    auto const progress = [](rollout const& it)
    {
        return std::tuple{it.id, it.phase != rollout_phase::running, it.step};
    };
    return progress(a) > progress(b);
}

auto share_percent(rollout const& r, rollout_policy const& policy)
    -> std::uint32_t
{
    if (r.phase == rollout_phase::rolled_back)
        return 0;
    if (r.phase == rollout_phase::completed ||
        r.step >= policy.steps_percent.size())
        return 100;
    return policy.steps_percent[r.step];
}

auto first_step(rollout_policy const& policy, std::int64_t wall_ms,
    claim_token token) -> rollout
{
    auto r = rollout{};
    r.id = policy.id;
    r.started_ms = wall_ms;
    r.changed_ms = wall_ms;
    r.token = token;
    return r;
}

auto next_step(rollout const& r, rollout_policy const& policy,
    rollout_fault fault, std::int64_t wall_ms, claim_token token)
    -> std::optional<rollout>
{
    if (r.phase != rollout_phase::running || r.id != policy.id)
        return std::nullopt;
    auto next = r;
    next.changed_ms = wall_ms;
    next.token = token;
    if (fault != rollout_fault::none)
    {
        next.phase = rollout_phase::rolled_back;
        next.fault = fault;
        return next;
    }
    auto const steps = static_cast<std::int64_t>(policy.steps_percent.size());
    auto const total = std::max<std::int64_t>(1, policy.duration.count());
    auto const passed =
        std::clamp<std::int64_t>(wall_ms - r.started_ms, 0, total);
    auto const due = static_cast<std::uint32_t>(steps * passed / total);
    if (due <= r.step && passed < total)
        return std::nullopt;
    // One step at a time, so that the versions are compared at each step.
    next.step =
        std::min<std::uint32_t>(r.step + 1, static_cast<std::uint32_t>(steps));
    if (next.step >= steps)
        next.phase = rollout_phase::completed;
    return next;
}

} // namespace knapweedstream
