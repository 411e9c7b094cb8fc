/// Loads that queueing, refusing, placing and hedging are weighed under.
#ifndef KNAPWEEDSTREAM_BENCH_EXPERIMENT_SCENARIOS_HPP
#define KNAPWEEDSTREAM_BENCH_EXPERIMENT_SCENARIOS_HPP

#include "dispatch/load.hpp"

#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// A load with a name.
struct scenario
{
    std::string name;
    std::string description; ///< A line for readers of the table.
    load_init init;
    load_plan plan; ///< Its seed is set for each play.

    auto operator<=>(scenario const&) const = default;
};

/// All scenarios, the calm one first.
auto all_scenarios() -> std::vector<scenario>;

} // namespace knapweedstream::dispatch

#endif
