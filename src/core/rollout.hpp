/// Steps of a rollout and comparison of its two versions, as pure functions.
#ifndef KNAPWEEDSTREAM_CORE_ROLLOUT_HPP
#define KNAPWEEDSTREAM_CORE_ROLLOUT_HPP

#include <knapweedstream/rollout.hpp>

#include <optional>

namespace knapweedstream
{

/// Returns the record with the outcome of one more request.
auto with_result(version_record const& r, bool failed, double latency_us)
    -> version_record;

/// Returns the outcomes of two records together.
auto sum_of(version_record const& a, version_record const& b) -> version_record;

/// Compares the new version with the old one over the same period.
///
/// @param[in] before Record of the old version.
/// @param[in] after Record of the new version.
/// @returns The fault, or `none` if there is none or too few samples.
auto compare_versions(version_record const& before, version_record const& after,
    rollout_policy const& policy) -> rollout_fault;

/// True if `a` is further along than `b`: of a later rollout, ended, or at a
/// later step.
auto is_further(rollout const& a, rollout const& b) -> bool;

/// Percentage of requests that go to the new version.
auto share_percent(rollout const& r, rollout_policy const& policy)
    -> std::uint32_t;

/// Returns a rollout at its first step.
///
/// @param[in] wall_ms Wall clock, ms since 1970.
/// @param[in] token Identifies the write that stores the state.
auto first_step(rollout_policy const& policy, std::int64_t wall_ms,
    claim_token token) -> rollout;

/// Returns the next state of a rollout if it is due.
///
/// Steps are spread evenly over the policy's duration and never go back; a
/// fault rolls the rollout back for good.
///
/// @param[in] wall_ms Wall clock, ms since 1970.
/// @param[in] token Identifies the write that stores the state.
auto next_step(rollout const& r, rollout_policy const& policy,
    rollout_fault fault, std::int64_t wall_ms, claim_token token)
    -> std::optional<rollout>;

} // namespace knapweedstream

#endif
