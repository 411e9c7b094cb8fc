/// Steps and verdicts of a rollout, as pure functions.
#ifndef KNAPWEEDSTREAM_CORE_ROLLOUT_HPP
#define KNAPWEEDSTREAM_CORE_ROLLOUT_HPP

#include <knapweedstream/rollout.hpp>

#include <optional>

namespace knapweedstream
{

/// What the requests to one version of one service showed, decayed.
struct version_record
{
    double requests = 0;
    double failures = 0;
    double latency_us = 0; ///< Sum over the successes.

    auto operator<=>(version_record const&) const = default;
};

/// The record with one more request.
auto with_result(version_record const& r, bool failed, double latency_us)
    -> version_record;

/// Compares the new version with the old one at the same time.
///
/// @returns The fault, or `none` if there is none or too few samples.
auto compare_versions(version_record const& before, version_record const& after,
    rollout_policy const& policy) -> rollout_fault;

/// Share of requests for the new version, percent.
auto share_percent(rollout const& r, rollout_policy const& policy)
    -> std::uint32_t;

/// A rollout at its first step.
auto first_step(rollout_policy const& policy, std::int64_t wall_ms,
    claim_token token) -> rollout;

/// The state that is due, if it differs from the present one.
///
/// Steps are spread evenly over the stated duration and only go forward; a
/// fault takes the rollout back, once and for all.
auto next_step(rollout const& r, rollout_policy const& policy,
    rollout_fault fault, std::int64_t wall_ms, claim_token token)
    -> std::optional<rollout>;

} // namespace knapweedstream

#endif
