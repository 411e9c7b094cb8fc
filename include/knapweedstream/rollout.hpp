/// Rollouts: traffic moves from one back-end version to another in steps.
#ifndef KNAPWEEDSTREAM_ROLLOUT_HPP
#define KNAPWEEDSTREAM_ROLLOUT_HPP

#include <knapweedstream/ids.hpp>
#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedstream
{

/// Rollout of a service as declared in a customer template; `id` 0 means none.
struct rollout_policy
{
    std::uint32_t id = 0; ///< Higher for each new rollout.
    std::string from;     ///< Version that serves before the rollout.
    std::string to;       ///< Version that serves after the rollout.
    std::vector<std::uint32_t> steps_percent; ///< Increasing, below 100.
    milliseconds duration{600'000};           ///< From the first step to 100%.
    /// Failure ratio allowed on top of that of the old version.
    double max_failure_ratio = 0.02;
    /// Mean latency allowed, as a multiple of that of the old version.
    double max_latency_ratio = 1.5;
    /// Requests to each version before the two are compared. The new version
    /// also fails on 5 failures if its failure ratio is too high.
    std::uint32_t min_samples = 50;

    auto operator<=>(rollout_policy const&) const = default;
};

/// Phase of a rollout; `completed` and `rolled_back` are final.
enum class rollout_phase : std::uint8_t
{
    running,
    completed,
    rolled_back,
};

/// Why a rollout was rolled back.
enum class rollout_fault : std::uint8_t
{
    none,
    failures, ///< The new version failed too many requests.
    latency,  ///< The new version was too slow.
};

/// Outcomes of the requests to one version of one service. All values are
/// halved when many requests have been counted, so that old outcomes weigh
/// less.
struct version_record
{
    double requests = 0;
    double failures = 0;
    double latency_us = 0; ///< Sum over the successes.

    auto operator<=>(version_record const&) const = default;
};

/// State of a rollout, stored in the platform.
struct rollout
{
    std::uint32_t id = 0;   ///< `rollout_policy::id`.
    std::uint32_t step = 0; ///< Index in `steps_percent`; at its size, 100%.
    rollout_phase phase = rollout_phase::running;
    rollout_fault fault = rollout_fault::none;
    std::int64_t started_ms = 0; ///< First step, ms since 1970.
    std::int64_t changed_ms = 0; ///< Last change, ms since 1970.
    claim_token token; ///< Identifies the write that stored this state.

    auto operator<=>(rollout const&) const = default;
};

} // namespace knapweedstream

#endif
