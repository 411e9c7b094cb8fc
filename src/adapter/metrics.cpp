#include "adapter/metrics.hpp"

#include "adapter/metrics_text.hpp"

#include <array>

namespace knapweedstream
{

namespace
{

namespace acc = boost::accumulators;

constexpr auto quantiles = std::array{0.5, 0.9, 0.99, 0.999};
auto node_text(node_stats const& s) -> std::string
{
    struct entry
    {
        char const* name;
        std::uint64_t node_stats::*member;
    };
    static constexpr auto table = std::array{
        entry{"queries_total", &node_stats::queries},
        entry{"queries_complete_total", &node_stats::complete},
        entry{"queries_partial_total", &node_stats::partial},
        entry{"queries_refused_total", &node_stats::refused},
        entry{"query_reruns_total", &node_stats::reruns},
        entry{"leaf_requests_needed_total", &node_stats::leaf_requests_needed},
        entry{"leaf_requests_sent_total", &node_stats::leaf_requests_sent},
        entry{"leaf_hedges_total", &node_stats::hedges},
        entry{"leaf_retries_total", &node_stats::retries},
        entry{"leaf_sheds_total", &node_stats::sheds},
        entry{"leaf_stale_answers_total", &node_stats::stale_answers},
        entry{"leaf_connections_condemned_total",
            &node_stats::unresponsive_connections},
        entry{"leaf_connects_total", &node_stats::connects},
        entry{"owner_failovers_total", &node_stats::owner_failovers},
        entry{"bookings_total", &node_stats::bookings},
        entry{"bookings_done_total", &node_stats::bookings_done},
        entry{"bookings_not_run_total", &node_stats::bookings_not_run},
        entry{"bookings_unknown_total", &node_stats::bookings_unknown},
        entry{"claim_writes_total", &node_stats::claim_writes},
        entry{"heartbeats_total", &node_stats::heartbeats},
        entry{"configs_accepted_total", &node_stats::config_accepted},
        entry{"platform_restores_total", &node_stats::platform_restores}};
    auto text = std::string{};
    for (auto const& it : table)
        text += counter_text(it.name, s.*it.member);
    return text;
}

auto gauges_text(node_gauges const& g) -> std::string
{
    return gauge_text("queries_open", g.queries_open) +
           gauge_text("leaf_connections", g.connections) +
           gauge_text("peers_alive", g.peers_alive) +
           gauge_text("targets_owned", g.targets_owned) +
           gauge_text("targets_warm", g.targets_warm) +
           gauge_text("ready", g.ready ? 1 : 0) +
           gauge_text("leaving", g.leaving ? 1 : 0);
}

auto traffic_text(node_adapter_stats const& f) -> std::string
{
    auto text = std::string{};
    for (std::size_t i = 0; i < f.peer_sent.size(); ++i)
    {
        auto const label = std::string{"{kind=\""} + message_name(i) + "\"}";
        text += sample_text("peer_messages_sent_total" + label,
            std::to_string(f.peer_sent[i].messages));
        text += sample_text("peer_bytes_sent_total" + label,
            std::to_string(f.peer_sent[i].bytes));
    }
    return text;
}

} // namespace

distribution::distribution()
    : set_(acc::tag::extended_p_square::probabilities = quantiles)
{
}

auto distribution::text(std::string const& name) const -> std::string
{
    auto out = "# TYPE knapweedstream_" + name + " summary\n";
    if (acc::count(set_) > 0)
        for (std::size_t i = 0; i < quantiles.size(); ++i)
        {
            auto const q = std::to_string(quantiles[i]);
            auto const v = acc::extended_p_square(set_)[i];
            out += sample_text(name + "{quantile=\"" + q.substr(0, 5) + "\"}",
                std::to_string(v));
        }
    out += sample_text(name + "_sum", std::to_string(acc::sum(set_)));
    out += sample_text(name + "_count", std::to_string(acc::count(set_)));
    return out;
}

auto metrics_text(node_stats const& stats, node_gauges const& gauges,
    node_adapter_stats const& adapters, distribution const& latency,
    distribution const& coverage) -> std::string
{
    return node_text(stats) + gauges_text(gauges) + traffic_text(adapters) +
           counter_text(
               "peer_bytes_received_total", adapters.peer_received_bytes) +
           counter_text("peer_batches_dropped_total", adapters.peer_dropped) +
           counter_text("platform_calls_total", adapters.platform_calls) +
           sample_text("control_cpu_seconds_total",
               std::to_string(adapters.control_cpu_s)) +
           sample_text(
               "data_cpu_seconds_total", std::to_string(adapters.data_cpu_s)) +
           sample_text("process_cpu_seconds_total",
               std::to_string(adapters.process_cpu_s)) +
           gauge_text("resident_bytes", adapters.resident_bytes) +
           latency.text("query_latency_us") + coverage.text("query_coverage");
}

} // namespace knapweedstream
