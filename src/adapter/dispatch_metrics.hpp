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

/// Counts outcomes and latencies of requests by route.
class request_metrics
{
public:
    /// Counts the fact if it is the end of a request; ignores others.
    auto observe(dispatch::fact const& it) -> void;

    /// Samples in the Prometheus text format.
    auto text() const -> std::string;

private:
    struct route_stats
    {
        std::map<std::string, std::uint64_t> outcomes;
        latency_histogram latency;
    };

    std::map<std::string, route_stats> routes_;
};

/// Statistics of the adapters around the dispatcher and of the process.
struct dispatch_adapter_stats
{
    std::uint64_t store_calls = 0;
    caller_stats callers;
    std::uint64_t dropped_log_lines = 0;
    double cpu_s = 0; ///< CPU time of the process.
    std::uint64_t resident_bytes = 0;
};

/// Body of the metrics page of an instance that dispatches by routes.
auto metrics_text(dispatch::dispatch_stats const& stats,
    dispatch::dispatch_gauges const& gauges,
    dispatch_adapter_stats const& adapters, request_metrics const& requests)
    -> std::string;

} // namespace knapweedstream

#endif
