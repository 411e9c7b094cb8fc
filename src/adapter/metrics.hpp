/// Metrics of the node in the Prometheus text format.
#ifndef KNAPWEEDSTREAM_ADAPTER_METRICS_HPP
#define KNAPWEEDSTREAM_ADAPTER_METRICS_HPP

#include "adapter/peer_link.hpp"
#include "core/node.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <string>

namespace knapweedstream
{

/// Distribution of a quantity: its count, sum, maximum and estimated quantiles.
class distribution
{
public:
    distribution();

    auto add(double sample) -> void { set_(sample); }

    /// A summary in the Prometheus text format.
    ///
    /// @param[in] name Without the common prefix of all metrics.
    auto text(std::string const& name) const -> std::string;

private:
    using stats = boost::accumulators::stats<boost::accumulators::tag::count,
        boost::accumulators::tag::sum, boost::accumulators::tag::max,
        boost::accumulators::tag::extended_p_square>;
    boost::accumulators::accumulator_set<double, stats> set_;
};

/// Statistics of the adapters around the node and of the process.
struct node_adapter_stats
{
    peer_traffic_table peer_sent{};
    std::uint64_t peer_received_bytes = 0;
    std::uint64_t peer_dropped = 0;
    std::uint64_t platform_calls = 0;
    double control_cpu_s = 0; ///< Thread CPU time spent on control events.
    double data_cpu_s = 0;    ///< Thread CPU time spent on all other events.
    double process_cpu_s = 0;
    std::uint64_t resident_bytes = 0;
};

/// Body of the node's metrics page.
///
/// @param[in] latency Time to answer a query, in microseconds.
/// @param[in] coverage Share of a query's shards that answered, 0 to 1.
auto metrics_text(node_stats const& stats, node_gauges const& gauges,
    node_adapter_stats const& adapters, distribution const& latency,
    distribution const& coverage) -> std::string;

} // namespace knapweedstream

#endif
