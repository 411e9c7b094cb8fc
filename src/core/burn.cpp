#include "core/burn.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream
{

namespace
{

constexpr auto page_rate = 14.4;
constexpr auto ticket_rate = 6.0;

auto count_one(bool bad) -> objective_count
{
    return {1, bad ? 1u : 0u};
}

auto sum(objective_count const& a, objective_count const& b) -> objective_count
{
    return {a.total + b.total, a.bad + b.bad};
}

auto alert_of(objective_burn const& b) -> burn_alert
{
    auto const [m5, m30, h1, h6] = b.rates;
    if (m5 > page_rate && h1 > page_rate)
        return burn_alert::page;
    return m30 > ticket_rate && h6 > ticket_rate ? burn_alert::ticket
                                                 : burn_alert::none;
}

} // namespace

auto count_answer(query_answer const& a, service_objectives const& o)
    -> request_counts
{
    auto c = request_counts{};
    c.latency = count_one(a.elapsed > o.latency);
    c.coverage = count_one(!a.covered.missing.empty());
    c.availability = count_one(a.covered.answered == 0);
    return c;
}

auto count_refusal(refusal const& r) -> request_counts
{
    auto c = request_counts{};
    auto const nothing = [](auto const&) {
    };
    auto const bad = [&]
    {
        c.availability = count_one(true);
    };
    std::visit(overloaded{[&](over_capacity const&) { bad(); },
                   [&](platform_unavailable const&) { bad(); },
                   [&](no_target const&) { bad(); }, nothing},
        r);
    return c;
}

auto count_booking(booking_answer const& a) -> request_counts
{
    return std::visit(
        overloaded{[](booking_done const&)
            {
                auto c = request_counts{};
                c.availability = count_one(false);
                c.bookings = count_one(false);
                return c;
            },
            [](booking_not_run const& it) { return count_refusal(it.reason); },
            [](booking_unknown const&)
            {
                auto c = request_counts{};
                c.availability = count_one(false);
                c.bookings = count_one(true);
                return c;
            }},
        a);
}

auto operator+(request_counts const& a, request_counts const& b)
    -> request_counts
{
    return {sum(a.latency, b.latency), sum(a.coverage, b.coverage),
        sum(a.availability, b.availability), sum(a.bookings, b.bookings)};
}

auto sum_minutes(minute_counts const& m, std::int64_t last, std::int64_t n)
    -> request_counts
{
    auto total = request_counts{};
    auto const end = m.upper_bound(last);
    for (auto it = m.upper_bound(last - n); it != end; ++it)
        total = total + it->second;
    return total;
}

auto burn_rate(objective_count const& c, double target) -> double
{
    if (c.total == 0 || target >= 1)
        return 0;
    auto const bad = static_cast<double>(c.bad) / static_cast<double>(c.total);
    return bad / (1 - target);
}

auto burn_by_objective(minute_counts const& m, service_objectives const& o,
    std::int64_t last) -> std::vector<objective_burn>
{
    struct objective
    {
        char const* name;
        objective_count request_counts::*count;
        double target;
    };
    auto const table = std::array{
        objective{"latency", &request_counts::latency, o.latency_target},
        objective{"coverage", &request_counts::coverage, o.coverage_target},
        objective{"availability", &request_counts::availability,
            o.availability_target},
        objective{"bookings", &request_counts::bookings, o.bookings_target}};
    auto all = std::vector<objective_burn>{};
    for (auto const& it : table)
    {
        auto b = objective_burn{};
        b.name = it.name;
        b.target = it.target;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
        {
            auto const c = sum_minutes(m, last, burn_windows[i]).*it.count;
            b.rates[i] = burn_rate(c, it.target);
            b.count = c;
        }
        b.budget_left = 1 - b.rates.back();
        b.alert = alert_of(b);
        all.push_back(b);
    }
    return all;
}

} // namespace knapweedstream
