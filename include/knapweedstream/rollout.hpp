/// Rollouts: traffic moves from one back-end version to another by steps.
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

/// What a template says of a rollout. `id` 0: there is none.
struct rollout_policy
{
    std::uint32_t id = 0; ///< A new rollout has a higher one.
    std::string from;     ///< Version that serves now.
    std::string to;       ///< Version that is to serve.
    std::vector<std::uint32_t> steps_percent; ///< Shares, rising, below 100.
    milliseconds duration{600'000};           ///< From first step to 100%.
    double max_failure_ratio = 0.02; ///< Failures above the old version's.
    double max_latency_ratio = 1.5;  ///< Mean latency to the old version's.
    std::uint32_t min_samples = 50;  ///< Requests needed to judge.

    auto operator<=>(rollout_policy const&) const = default;
};

/// How far a rollout has come. The last two are final.
enum class rollout_phase : std::uint8_t
{
    running,
    completed,
    rolled_back,
};

/// Why a rollout was taken back.
enum class rollout_fault : std::uint8_t
{
    none,
    failures, ///< Too many requests failed.
    latency,  ///< Requests took too long.
};

/// State of a rollout, kept in the platform.
struct rollout
{
    std::uint32_t id = 0;
    std::uint32_t step = 0; ///< Index in `steps_percent`; its size is 100%.
    rollout_phase phase = rollout_phase::running;
    rollout_fault fault = rollout_fault::none;
    std::int64_t started_ms = 0; ///< Wall clock, ms since 1970.
    std::int64_t changed_ms = 0; ///< Wall clock of the last change.
    claim_token token;           ///< Of the change that made this state.

    auto operator<=>(rollout const&) const = default;
};

} // namespace knapweedstream

#endif
