#include "report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace knapweedstream::dispatch
{

namespace
{

/// Half the width of a 95% interval, in standard errors of a normal
/// distribution.
constexpr auto normal_95 = 1.96;

/// A metric's label in the table, and its member.
struct metric
{
    char const* name;
    double run_metrics::*member;
};

constexpr auto metrics = std::array{metric{"in time", &run_metrics::in_time},
    metric{"in time, second try", &run_metrics::in_time_on_retry},
    metric{"served", &run_metrics::served},
    metric{"refused", &run_metrics::refused},
    metric{"partial", &run_metrics::partial},
    metric{"worst two seconds", &run_metrics::worst_two_seconds},
    metric{"p50, ms", &run_metrics::p50_ms},
    metric{"p99, ms", &run_metrics::p99_ms},
    metric{"extra sends", &run_metrics::extra_sends},
    metric{"connections", &run_metrics::connections}};

auto ratio(double n, double of) -> double
{
    return of == 0 ? 0 : n / of;
}

auto quantile_ms(std::vector<duration> const& sorted, double q) -> double
{
    if (sorted.empty())
        return 0;
    auto const last = static_cast<double>(sorted.size() - 1);
    auto const at = static_cast<std::size_t>(q * last);
    return std::chrono::duration<double, std::milli>(sorted[at]).count();
}

/// Least share answered in time over any two consecutive seconds.
auto min_two_second_share(std::vector<second_result> const& seconds) -> double
{
    auto worst = 1.0;
    for (std::size_t i = 1; i < seconds.size(); ++i)
    {
        auto const& a = seconds[i - 1];
        auto const& b = seconds[i];
        if (a.submitted + b.submitted > 0)
            worst = std::min(
                worst, ratio(static_cast<double>(a.in_time + b.in_time),
                           static_cast<double>(a.submitted + b.submitted)));
    }
    return worst;
}

auto samples_of(policy_runs const& p, double run_metrics::*member)
    -> std::vector<double>
{
    auto out = std::vector<double>{};
    for (auto const& it : p.runs)
        out.push_back(metrics_of(it).*member);
    return out;
}

auto format_estimate(estimate const& e) -> std::string
{
    auto out = std::ostringstream{};
    out << std::fixed << std::setprecision(std::abs(e.mean) < 10 ? 4 : 1)
        << e.mean << " ± " << e.half_width;
    return out.str();
}

/// Estimates the mean difference between two policies, paired by seed.
auto difference(policy_runs const& from, policy_runs const& to,
    double run_metrics::*member) -> estimate
{
    auto a = samples_of(from, member);
    auto const b = samples_of(to, member);
    for (std::size_t i = 0; i < a.size(); ++i)
        a[i] = b[i] - a[i];
    return estimate_of(a);
}

/// Share of requests answered in time in each second, averaged over all runs.
auto in_time_by_second(policy_runs const& p) -> std::vector<double>
{
    auto out = std::vector<double>(p.runs.front().seconds.size());
    for (auto const& run : p.runs)
        for (std::size_t i = 0; i < out.size(); ++i)
            out[i] += ratio(static_cast<double>(run.seconds[i].in_time),
                          static_cast<double>(run.seconds[i].submitted)) /
                      static_cast<double>(p.runs.size());
    return out;
}

} // namespace

auto metrics_of(load_result const& r) -> run_metrics
{
    auto const asked = static_cast<double>(r.submitted);
    auto f = run_metrics{};
    f.in_time = ratio(static_cast<double>(r.in_time), asked);
    f.in_time_on_retry =
        ratio(static_cast<double>(r.in_time_after_retry), asked);
    f.served = ratio(static_cast<double>(r.in_time + r.late), asked);
    f.refused = ratio(static_cast<double>(r.refused), asked);
    f.partial = ratio(static_cast<double>(r.partial), asked);
    f.worst_two_seconds = min_two_second_share(r.seconds);
    f.p50_ms = quantile_ms(r.latencies, 0.5);
    f.p99_ms = quantile_ms(r.latencies, 0.99);
    f.extra_sends = ratio(
        static_cast<double>(r.extra_sends), static_cast<double>(r.first_sends));
    f.connections = ratio(static_cast<double>(r.connections), asked);
    return f;
}

auto estimate_of(std::vector<double> const& samples) -> estimate
{
    auto const n = static_cast<double>(samples.size());
    auto const mean = std::accumulate(samples.begin(), samples.end(), 0.0) / n;
    auto squares = 0.0;
    for (auto const it : samples)
        squares += (it - mean) * (it - mean);
    return {mean, normal_95 * std::sqrt(squares / (n - 1) / n)};
}

auto table_of(std::vector<policy_runs> const& policies) -> std::string
{
    auto out = std::ostringstream{};
    out << "| |";
    for (auto const& it : policies)
        out << " " << it.name << " |";
    out << " difference |\n|" << std::string(3, '-') << "|";
    for (std::size_t i = 0; i <= policies.size(); ++i)
        out << "---|";
    out << "\n";
    for (auto const& row : metrics)
    {
        out << "| " << row.name << " |";
        for (auto const& it : policies)
            out << " "
                << format_estimate(estimate_of(samples_of(it, row.member)))
                << " |";
        out << " "
            << format_estimate(
                   difference(policies.front(), policies.back(), row.member))
            << " |\n";
    }
    return out.str();
}

auto plot_of(std::string const& title, std::vector<policy_runs> const& policies)
    -> std::string
{
    constexpr auto width = 640;
    constexpr auto height = 240;
    constexpr auto margin = 30;
    constexpr auto colours = std::array{"#1f77b4", "#d62728"};
    auto out = std::ostringstream{};
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        << width + 2 * margin << "\" height=\"" << height + 2 * margin
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\""
        << margin << "\" y=\"18\">" << title
        << ": share in time, by second</text>\n<rect x=\"" << margin
        << "\" y=\"" << margin << "\" width=\"" << width << "\" height=\""
        << height << "\" fill=\"none\" stroke=\"#888\"/>\n";
    for (std::size_t n = 0; n < policies.size(); ++n)
    {
        auto const colour = colours[n % colours.size()];
        auto const curve = in_time_by_second(policies[n]);
        auto const steps = std::max<std::size_t>(1, curve.size() - 1);
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (std::size_t i = 0; i < curve.size(); ++i)
            out << margin + width * i / steps << ","
                << margin + height * (1 - curve[i]) << " ";
        out << "\"/>\n<text x=\"" << margin + 8 << "\" y=\""
            << margin + height - 8 - 14 * n << "\" fill=\"" << colour << "\">"
            << policies[n].name << "</text>\n";
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace knapweedstream::dispatch
