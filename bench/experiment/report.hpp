/// Metrics of simulated runs with confidence intervals, as a table and a plot.
#ifndef KNAPWEEDSTREAM_BENCH_EXPERIMENT_REPORT_HPP
#define KNAPWEEDSTREAM_BENCH_EXPERIMENT_REPORT_HPP

#include "dispatch/load.hpp"

#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// Metrics of one simulated run. Members without a unit are shares of the
/// callers' requests, unless stated otherwise.
struct run_metrics
{
    double in_time = 0; ///< Successes within the latency objective.
    /// Successes on the caller's retry, late since its first attempt but within
    /// the objective since its second.
    double in_time_on_retry = 0;
    double served = 0; ///< Successes, late ones included.
    double refused = 0;
    double partial = 0;           ///< Successes with parts missing.
    double worst_two_seconds = 0; ///< Least `in_time` of two seconds in a row.
    double p50_ms = 0;            ///< Median latency of successes.
    double p99_ms = 0;            ///< 99th percentile of the same.
    double extra_sends = 0; ///< Hedges, retries and probes per first send.
    double connections = 0; ///< Opened to targets, per caller request.

    auto operator<=>(run_metrics const&) const = default;
};

/// A mean and half the width of its 95% confidence interval.
struct estimate
{
    double mean = 0;
    double half_width = 0;

    auto operator<=>(estimate const&) const = default;
};

/// All runs of one policy under one scenario.
struct policy_runs
{
    std::string name;
    std::vector<load_result> runs; ///< In the order of their seeds.

    auto operator<=>(policy_runs const&) const = default;
};

/// Computes the metrics of one run.
auto metrics_of(load_result const& r) -> run_metrics;

/// Estimates a mean and its confidence interval.
///
/// @param[in] samples Independent samples; at least two.
auto estimate_of(std::vector<double> const& samples) -> estimate;

/// Formats a Markdown table: a row per metric, a column per policy, and the
/// difference of the last policy from the first, paired by seed.
auto table_of(std::vector<policy_runs> const& policies) -> std::string;

/// Draws an SVG plot of the share of requests answered in time in each second,
/// one line per policy.
auto plot_of(std::string const& title, std::vector<policy_runs> const& policies)
    -> std::string;

} // namespace knapweedstream::dispatch

#endif
