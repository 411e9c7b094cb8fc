#include "dispatch/budget_fleet.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::seconds;

namespace
{

constexpr auto fleet_size = std::size_t{40};
constexpr auto calm = target_faults{};
constexpr auto resetting = target_faults{0.9, 0};
constexpr auto refusing = target_faults{0, 0.9};

} // namespace

TEST_CASE("budget sums: targets that reset most requests")
{
    auto fleet = budget_fleet{fleet_size};
    fleet.run(seconds{30}, resetting);
    CHECK(fleet.worst_use_of_budget() <= 1);
    CHECK(fleet.worst_use_of_budget() > 0.5);
}

TEST_CASE("budget sums: targets that begin to reset requests")
{
    auto fleet = budget_fleet{fleet_size};
    fleet.run(seconds{20}, calm);
    fleet.run(seconds{20}, {0.5, 0.3});
    fleet.run(seconds{20}, calm);
    fleet.run(seconds{20}, resetting);
    CHECK(fleet.worst_use_of_budget() <= 1);
}

TEST_CASE("budget sums: all instances restart at once after spending it")
{
    for (auto const before : {2, 7, 12, 20})
    {
        CAPTURE(before);
        auto fleet = budget_fleet{fleet_size};
        fleet.run(seconds{before}, refusing);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.restart(i);
        fleet.run(seconds{30}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: all instances restart again and again")
{
    auto fleet = budget_fleet{fleet_size};
    for (auto k = 0; k < 8; ++k)
    {
        fleet.run(seconds{3 + 2 * k}, refusing);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.restart(i);
    }
    CHECK(fleet.worst_use_of_budget() <= 1);
}
