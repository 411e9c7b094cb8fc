#include "adapter/dispatch_metrics.hpp"

#include <array>

namespace knapweedstream
{

namespace
{

auto outcome_name(dispatch::request_ended const& it) -> std::string
{
    constexpr auto names =
        std::array{"complete", "partial", "refused", "failed", "abandoned"};
    return names.at(static_cast<std::size_t>(it.how));
}

auto stats_text(dispatch::dispatch_stats const& s) -> std::string
{
    using d = dispatch::dispatch_stats;
    struct entry
    {
        char const* name;
        std::uint64_t d::*member;
    };
    constexpr auto table = std::array{entry{"requests_total", &d::requests},
        entry{"requests_read_late_total", &d::read_late},
        entry{"requests_complete_total", &d::complete},
        entry{"requests_partial_total", &d::partial},
        entry{"requests_refused_total", &d::refused},
        entry{"requests_failed_total", &d::failed},
        entry{"requests_abandoned_total", &d::abandoned},
        entry{"target_first_requests_total", &d::first_sends},
        entry{"target_hedges_total", &d::hedges},
        entry{"target_retries_total", &d::retries},
        entry{"target_probes_total", &d::probes},
        entry{"target_free_repeats_total", &d::free_repeats},
        entry{"retry_budget_refusals_total", &d::budget_refusals},
        entry{"target_overload_replies_total", &d::overload_replies},
        entry{"target_lost_attempts_total", &d::lost_attempts},
        entry{"target_unusable_replies_total", &d::unusable_replies},
        entry{"target_limit_notices_total", &d::limit_notices},
        entry{"target_pause_notices_total", &d::pause_notices},
        entry{"target_leaving_notices_total", &d::leaving_notices},
        entry{"target_statements_ignored_total", &d::ignored_statements},
        entry{"target_connects_total", &d::connects},
        entry{"target_connect_failures_total", &d::connect_failures},
        entry{"store_failures_total", &d::store_failures},
        entry{"store_restores_total", &d::store_restores},
        entry{"store_outdated_objects_total", &d::outdated_objects},
        entry{"relay_failures_total", &d::relay_failures},
        entry{"relay_answers_total", &d::relay_answers},
        entry{"configs_total", &d::configs}};
    auto text = std::string{};
    for (auto const& it : table)
        text += counter_text(it.name, s.*it.member);
    return text;
}

auto gauges_text(dispatch::dispatch_gauges const& g) -> std::string
{
    return gauge_text("requests_open", g.requests_open) +
           gauge_text("parts_waiting", g.parts_waiting) +
           gauge_text("target_connections", g.connections) +
           gauge_text("targets", g.targets) +
           gauge_text("instances", g.instances) +
           gauge_text("retry_budget_instances", g.budget_instances) +
           gauge_text("retry_budget_claim_ppm", g.budget_claim) +
           gauge_text("retry_budget_unsettled", g.unsettled_extras) +
           gauge_text("config_version", g.config_version) +
           gauge_text("store_era", g.store_era) +
           gauge_text("ready", g.ready ? 1 : 0) +
           gauge_text("stopping", g.stopping ? 1 : 0);
}

} // namespace

auto request_metrics::observe(dispatch::fact const& it) -> void
{
    auto const* e = std::get_if<dispatch::request_ended>(&it);
    if (e == nullptr)
        return;
    auto& r = routes_[e->route.empty() ? "none" : e->route];
    ++r.outcomes[outcome_name(*e)];
    r.latency.add(static_cast<double>(e->elapsed.count()) / 1e3);
}

auto request_metrics::text() const -> std::string
{
    auto out = std::string{};
    for (auto const& [name, it] : routes_)
    {
        auto const label = "route=\"" + name + "\"";
        for (auto const& [outcome, n] : it.outcomes)
            out += sample_text("route_requests_total{" + label + ",outcome=\"" +
                                   outcome + "\"}",
                std::to_string(n));
        out += it.latency.text("route_latency_ms", label);
    }
    return out;
}

auto metrics_text(dispatch::dispatch_stats const& stats,
    dispatch::dispatch_gauges const& gauges,
    dispatch_adapter_stats const& adapters, request_metrics const& requests)
    -> std::string
{
    return stats_text(stats) + gauges_text(gauges) +
           counter_text("store_calls_total", adapters.store_calls) +
           counter_text("callers_accepted_total", adapters.callers.accepted) +
           gauge_text("callers_open", adapters.callers.open) +
           counter_text("callers_malformed_total", adapters.callers.malformed) +
           counter_text("callers_timeouts_total", adapters.callers.timeouts) +
           counter_text(
               "log_lines_left_out_total", adapters.dropped_log_lines) +
           sample_text(
               "process_cpu_seconds_total", std::to_string(adapters.cpu_s)) +
           gauge_text("resident_bytes", adapters.resident_bytes) +
           requests.text();
}

} // namespace knapweedstream
