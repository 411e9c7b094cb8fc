/// Load scenarios for comparing policies of queueing, refusal, placement and
/// hedging.
#ifndef KNAPWEEDSTREAM_BENCH_EXPERIMENT_SCENARIOS_HPP
#define KNAPWEEDSTREAM_BENCH_EXPERIMENT_SCENARIOS_HPP

#include "dispatch/load.hpp"

#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// A named load.
struct scenario
{
    std::string name;
    std::string description; ///< One line, printed above the table.
    load_init init;
    load_plan plan; ///< The seed is set for each run.

    auto operator<=>(scenario const&) const = default;
};

/// All scenarios, beginning with the one without faults.
auto all_scenarios() -> std::vector<scenario>;

} // namespace knapweedstream::dispatch

#endif
