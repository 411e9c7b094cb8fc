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

constexpr auto normal_95 = 1.96; ///< Standard errors to either side.

struct figure
{
    char const* name;
    double play_figures::*member;
};

constexpr auto figures = std::array{figure{"in time", &play_figures::in_time},
    figure{"in time, second try", &play_figures::again},
    figure{"served", &play_figures::served},
    figure{"refused", &play_figures::refused},
    figure{"partial", &play_figures::partial},
    figure{"worst two seconds", &play_figures::worst_two_seconds},
    figure{"p50, ms", &play_figures::p50_ms},
    figure{"p99, ms", &play_figures::p99_ms},
    figure{"extra sends", &play_figures::extra_sends},
    figure{"connections", &play_figures::connections}};

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

auto worst_two(std::vector<second_result> const& seconds) -> double
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

auto samples_of(policy_plays const& p, double play_figures::*member)
    -> std::vector<double>
{
    auto out = std::vector<double>{};
    for (auto const& it : p.plays)
        out.push_back(figures_of(it).*member);
    return out;
}

auto text_of(estimate const& e) -> std::string
{
    auto out = std::ostringstream{};
    out << std::fixed << std::setprecision(std::abs(e.mean) < 10 ? 4 : 1)
        << e.mean << " ± " << e.half_width;
    return out.str();
}

auto difference(policy_plays const& from, policy_plays const& to,
    double play_figures::*member) -> estimate
{
    auto a = samples_of(from, member);
    auto const b = samples_of(to, member);
    for (std::size_t i = 0; i < a.size(); ++i)
        a[i] = b[i] - a[i];
    return estimate_of(a);
}

/// Mean share in time of each second.
auto curve_of(policy_plays const& p) -> std::vector<double>
{
    auto out = std::vector<double>(p.plays.front().seconds.size());
    for (auto const& play : p.plays)
        for (std::size_t i = 0; i < out.size(); ++i)
            out[i] += ratio(static_cast<double>(play.seconds[i].in_time),
                          static_cast<double>(play.seconds[i].submitted)) /
                      static_cast<double>(p.plays.size());
    return out;
}

} // namespace

auto figures_of(load_result const& r) -> play_figures
{
    auto const asked = static_cast<double>(r.submitted);
    auto f = play_figures{};
    f.in_time = ratio(static_cast<double>(r.in_time), asked);
    f.again = ratio(static_cast<double>(r.in_time_after_retry), asked);
    f.served = ratio(static_cast<double>(r.in_time + r.late), asked);
    f.refused = ratio(static_cast<double>(r.refused), asked);
    f.partial = ratio(static_cast<double>(r.partial), asked);
    f.worst_two_seconds = worst_two(r.seconds);
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

auto table_of(std::vector<policy_plays> const& policies) -> std::string
{
    auto out = std::ostringstream{};
    out << "| |";
    for (auto const& it : policies)
        out << " " << it.name << " |";
    out << " difference |\n|" << std::string(3, '-') << "|";
    for (std::size_t i = 0; i <= policies.size(); ++i)
        out << "---|";
    out << "\n";
    for (auto const& row : figures)
    {
        out << "| " << row.name << " |";
        for (auto const& it : policies)
            out << " " << text_of(estimate_of(samples_of(it, row.member)))
                << " |";
        out << " "
            << text_of(
                   difference(policies.front(), policies.back(), row.member))
            << " |\n";
    }
    return out.str();
}

auto plot_of(std::string const& title,
    std::vector<policy_plays> const& policies) -> std::string
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
        auto const curve = curve_of(policies[n]);
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
