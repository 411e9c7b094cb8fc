/// Metrics of the dispatcher in the Prometheus text format.
#ifndef KNAPWEEDSTREAM_ADAPTER_DISPATCH_METRICS_HPP
#define KNAPWEEDSTREAM_ADAPTER_DISPATCH_METRICS_HPP

#include "adapter/metrics_text.hpp"
#include "adapter/process_usage.hpp"
#include "adapter/route_server.hpp"
#include "core/dispatch/dispatcher.hpp"

#include <map>
#include <string>

namespace knapweedstream
{

/// Outcomes and latencies of requests, by route.
class request_metrics
{
public:
    /// Counts a fact if it concerns a request.
    auto observe(dispatch::fact const& it) -> void;

    auto text() const -> std::string;

private:
    struct route_stats
    {
        std::map<std::string, std::uint64_t> outcomes;
        latency_histogram latency;
    };

    std::map<std::string, route_stats> routes_;
};

/// What the adapters know beside the dispatcher.
struct dispatch_adapter_stats
{
    std::uint64_t store_calls = 0;
    caller_figures callers;
    std::uint64_t dropped_log_lines = 0;
    double cpu_s = 0;
    std::uint64_t resident_bytes = 0;
};

/// Text of the scrape page.
auto metrics_text(dispatch::dispatch_stats const& stats,
    dispatch::dispatch_gauges const& gauges,
    dispatch_adapter_stats const& adapters, request_metrics const& requests)
    -> std::string;

} // namespace knapweedstream

#endif
