/// Counts of requests by service level objective, and the burn rate report.
#include "adapter/burn_page.hpp"

#include <doctest/doctest.h>

using namespace knapweedstream;

namespace
{

auto answer(bool complete, milliseconds elapsed) -> query_answer
{
    auto a = query_answer{};
    a.covered = {2, complete ? 2u : 1u, {}};
    if (!complete)
        a.covered.missing.push_back({{1}, shard_failure::deadline});
    a.elapsed = elapsed;
    return a;
}

} // namespace

TEST_CASE("a request counts once, and only for the objectives it applies to")
{
    auto const o = service_objectives{};
    auto const late = count_answer(answer(true, milliseconds{200}), o);
    CHECK(late.latency == objective_count{1, 1});
    CHECK(late.coverage == objective_count{1, 0});
    CHECK(late.bookings == objective_count{});
    auto const partial = count_answer(answer(false, milliseconds{2}), o);
    CHECK(partial.coverage.bad == 1);
    CHECK(partial.availability.bad == 0);
    CHECK(count_refusal(over_admission{4}) == request_counts{});
    CHECK(count_refusal(unknown_customer{}) == request_counts{});
    CHECK(count_refusal(over_capacity{}).availability.bad == 1);
    CHECK(count_booking(booking_unknown{}).bookings.bad == 1);
}

TEST_CASE("burn rates, alerts and budgets by window")
{
    auto table = burn_table{};
    auto const o = service_objectives{};
    for (auto minute = 1; minute <= 360; ++minute)
        for (auto n = 0; n < 10; ++n)
        {
            auto const bad = minute > 300 && n < 2;
            auto const a = answer(true, milliseconds{bad ? 500 : 1});
            add_request(table, "regie", o, count_answer(a, o), minute);
        }
    auto const b = burn_by_objective(table["regie"].minutes, o, 360)[0];
    CHECK(b.rates[0] == doctest::Approx(20));
    CHECK(b.rates[2] == doctest::Approx(20));
    CHECK(b.rates[3] == doctest::Approx(20.0 / 6));
    CHECK(b.alert == burn_alert::page);
    CHECK(b.count.total == 3'600);
    CHECK(b.budget_left == doctest::Approx(1 - 20.0 / 6));
    // Minutes outside the window are dropped.
    add_request(table, "regie", o, {}, 400);
    CHECK(table["regie"].minutes.begin()->first == 41);
}

TEST_CASE("burn tables of instances add up and are unchanged after decoding")
{
    auto a = burn_table{};
    auto const o = service_objectives{};
    add_request(a, "c", o, count_booking(booking_done{"r"}), 7);
    auto const decoded = parse_burn(to_json(a));
    REQUIRE(decoded);
    CHECK(decoded.value() == a);
    auto sum = a;
    merge_burn(sum, a);
    CHECK(sum["c"].minutes[7].bookings.total == 2);
    CHECK(burn_text(sum, 7).find("bookings") != std::string::npos);
    CHECK(burn_json(sum, 7).find("\"budget_left\":1") != std::string::npos);
    CHECK(burn_html(sum, 7).find("<svg") != std::string::npos);
}
