#include "adapter/burn_page.hpp"

#include "adapter/value_codec.hpp"

#include <algorithm>
#include <cstdio>

namespace knapweedstream
{

namespace
{

namespace json = boost::json;

/// One customer on the page `/v1/burn`. Encoded by position.
struct page_entry
{
    std::string customer;
    service_objectives objectives;
    struct minute_entry
    {
        std::int64_t minute = 0;
        request_counts counts;
    };
    std::vector<minute_entry> minutes;
};

auto alert_name(burn_alert it) -> char const*
{
    return it == burn_alert::page     ? "PAGE"
           : it == burn_alert::ticket ? "ticket"
                                      : "-";
}

template <class... Ts>
auto format(char const* pattern, Ts... values) -> std::string
{
    char buf[512];
    std::snprintf(buf, sizeof buf, pattern, values...);
    return buf;
}

auto row_text(std::string const& customer, objective_burn const& b)
    -> std::string
{
    return format("%-14s %-13s %8.4f %9llu %7llu %8.1f%% %7.2f %7.2f %7.2f "
                  "%7.2f  %s\n",
        customer.c_str(), b.name, b.target,
        static_cast<unsigned long long>(b.count.total),
        static_cast<unsigned long long>(b.count.bad), 100 * b.budget_left,
        b.rates[0], b.rates[1], b.rates[2], b.rates[3], alert_name(b.alert));
}

auto escaped(std::string const& text) -> std::string
{
    auto out = std::string{};
    for (auto const c : text)
        out += c == '<'   ? "&lt;"
               : c == '&' ? "&amp;"
               : c == '>' ? "&gt;"
                          : std::string(1, c);
    return out;
}

/// SVG plot of an objective's 5-minute burn rate, by minute over the last hour.
auto plot(customer_burn const& c, std::size_t objective, std::int64_t last)
    -> std::string
{
    constexpr auto minutes = 60;
    constexpr auto step = 5;
    constexpr auto height = 60.0;
    constexpr auto full_scale = 20.0; ///< Burn rate at the top of the plot.
    auto points = std::string{};
    for (auto i = 0; i < minutes; ++i)
    {
        auto const at = last - minutes + 1 + i;
        auto const rate =
            burn_by_objective(c.minutes, c.objectives, at)[objective].rates[0];
        auto const y = height * (1 - std::min(rate, full_scale) / full_scale);
        points += format("%d,%.1f ", i * step, y);
    }
    return "<svg width=\"300\" height=\"62\"><rect width=\"300\" "
           "height=\"62\" fill=\"#f4f4f4\"/><polyline fill=\"none\" "
           "stroke=\"#b00\" points=\"" +
           points + "\"/></svg>";
}

} // namespace

auto add_request(burn_table& table, std::string const& customer,
    service_objectives const& o, request_counts const& c, std::int64_t minute)
    -> void
{
    auto& entry = table[customer];
    entry.objectives = o;
    entry.minutes[minute] = entry.minutes[minute] + c;
    while (entry.minutes.begin()->first <= minute - burn_windows.back())
        entry.minutes.erase(entry.minutes.begin());
}

auto merge_burn(burn_table& table, burn_table const& other) -> void
{
    for (auto const& [customer, it] : other)
    {
        auto& entry = table[customer];
        entry.objectives = it.objectives;
        for (auto const& [minute, counts] : it.minutes)
            entry.minutes[minute] = entry.minutes[minute] + counts;
    }
}

auto to_json(burn_table const& table) -> std::string
{
    auto page = std::vector<page_entry>{};
    for (auto const& [customer, it] : table)
    {
        page.push_back({customer, it.objectives, {}});
        for (auto const& [minute, counts] : it.minutes)
            page.back().minutes.push_back({minute, counts});
    }
    return encode(page);
}

auto parse_burn(std::string_view body) -> leaf::result<burn_table>
{
    BOOST_LEAF_AUTO(page, decode<std::vector<page_entry>>(body, "burn page"));
    auto table = burn_table{};
    for (auto const& it : page)
    {
        auto& entry = table[it.customer];
        entry.objectives = it.objectives;
        for (auto const& m : it.minutes)
            entry.minutes[m.minute] = m.counts;
    }
    return table;
}

auto burn_text(burn_table const& table, std::int64_t last) -> std::string
{
    auto text = std::string{"customer       objective       target     total "
                            "    bad  budget     5m     30m      1h      6h"
                            "  alert\n"};
    for (auto const& [customer, it] : table)
        for (auto const& b : burn_by_objective(it.minutes, it.objectives, last))
            text += row_text(customer, b);
    return text;
}

auto burn_json(burn_table const& table, std::int64_t last) -> std::string
{
    auto list = json::array{};
    for (auto const& [customer, it] : table)
        for (auto const& b : burn_by_objective(it.minutes, it.objectives, last))
        {
            auto rates = json::object{};
            for (std::size_t i = 0; i < burn_windows.size(); ++i)
                rates[std::to_string(burn_windows[i]) + "m"] = b.rates[i];
            list.push_back(json::object{{"customer", customer},
                {"objective", b.name}, {"target", b.target},
                {"total", b.count.total}, {"bad", b.count.bad},
                {"budget_left", b.budget_left}, {"burn", std::move(rates)},
                {"alert", alert_name(b.alert)}});
        }
    return json::serialize(list);
}

auto burn_html(burn_table const& table, std::int64_t last) -> std::string
{
    auto text = std::string{
        "<!doctype html><meta charset=\"utf-8\"><title>Service-level "
        "burn</title><style>body{font:14px sans-serif}td,th{padding:4px "
        "8px;text-align:right}.PAGE{background:#fbb}.ticket{background:#fe9}"
        "</style><h1>Service-level burn</h1><p>Burn rate 1 uses up the error "
        "budget exactly. Plots: burn over 5 minutes, by minute, last hour; "
        "top is 20.</p><table><tr><th>customer<th>objective<th>target<th>"
        "total<th>bad<th>budget left<th>5m<th>30m<th>1h<th>6h<th>alert<th>"
        "last hour</tr>"};
    for (auto const& [customer, it] : table)
    {
        auto const all = burn_by_objective(it.minutes, it.objectives, last);
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            auto const& b = all[i];
            text += format("<tr class=\"%s\"><td>%s<td>%s<td>%.4f<td>%llu<td>"
                           "%llu<td>%.1f%%<td>%.2f<td>%.2f<td>%.2f<td>%.2f"
                           "<td>%s<td>",
                alert_name(b.alert), escaped(customer).c_str(), b.name,
                b.target, static_cast<unsigned long long>(b.count.total),
                static_cast<unsigned long long>(b.count.bad),
                100 * b.budget_left, b.rates[0], b.rates[1], b.rates[2],
                b.rates[3], alert_name(b.alert));
            text += plot(it, i, last) + "</tr>";
        }
    }
    return text + "</table>\n";
}

} // namespace knapweedstream
