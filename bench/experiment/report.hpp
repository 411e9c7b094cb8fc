/// What plays of a load come to, with intervals, as a table and as a plot.
#ifndef KNAPWEEDSTREAM_BENCH_EXPERIMENT_REPORT_HPP
#define KNAPWEEDSTREAM_BENCH_EXPERIMENT_REPORT_HPP

#include "dispatch/load.hpp"

#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// Figures of one play.
struct run_metrics
{
    double in_time = 0;          ///< Shares of the requests asked.
    double in_time_on_retry = 0; ///< In time once the caller had come back.
    double served = 0;
    double refused = 0;
    double partial = 0;
    double worst_two_seconds = 0; ///< Least share in time of any two seconds.
    double p50_ms = 0;            ///< Of answers.
    double p99_ms = 0;
    double extra_sends = 0; ///< Per first request to a target.
    double connections = 0; ///< Opened, per request asked.

    auto operator<=>(run_metrics const&) const = default;
};

/// A mean and half the width of its 95% interval.
struct estimate
{
    double mean = 0;
    double half_width = 0;

    auto operator<=>(estimate const&) const = default;
};

/// All plays of one policy under one load.
struct policy_runs
{
    std::string name;
    std::vector<load_result> runs; ///< By seed.

    auto operator<=>(policy_runs const&) const = default;
};

auto metrics_of(load_result const& r) -> run_metrics;

/// Estimates a mean from independent samples; two at least.
auto estimate_of(std::vector<double> const& samples) -> estimate;

/// A Markdown table: a row for each figure, a column for each policy, and the
/// difference of the last from the first, taken seed by seed.
auto table_of(std::vector<policy_runs> const& policies) -> std::string;

/// An SVG plot of the share in time of each second, a line for each policy.
auto plot_of(std::string const& title, std::vector<policy_runs> const& policies)
    -> std::string;

} // namespace knapweedstream::dispatch

#endif
