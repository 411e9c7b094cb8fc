#include "dispatch/budget_fleet.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
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
    auto fleet = budget_fleet{};
    fleet.run(seconds{30}, resetting);
    CHECK(fleet.worst_use_of_budget() <= 1);
    CHECK(fleet.worst_use_of_budget() > 0.5);
}

TEST_CASE("budget sums: targets that begin to reset requests")
{
    auto fleet = budget_fleet{};
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
        auto fleet = budget_fleet{};
        fleet.run(seconds{before}, refusing);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.restart(i);
        fleet.run(seconds{30}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: targets fail shortly before all instances restart")
{
    for (auto const before : {1, 2, 4})
    {
        CAPTURE(before);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, calm);
        fleet.run(seconds{before}, refusing);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.restart(i);
        fleet.run(seconds{20}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: all instances restart again and again")
{
    auto fleet = budget_fleet{};
    for (auto k = 0; k < 8; ++k)
    {
        fleet.run(seconds{3 + 2 * k}, refusing);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.restart(i);
    }
    CHECK(fleet.worst_use_of_budget() <= 1);
}

TEST_CASE("budget sums: instances that have not read the list of instances")
{
    auto fleet = budget_fleet{};
    for (auto i = std::size_t{0}; i < fleet_size; ++i)
        fleet.restart(i, false);
    fleet.run(seconds{40}, refusing);
    CHECK(fleet.worst_use_of_budget() <= 1);
}

TEST_CASE("budget sums: half of the instances stop and start, others list less")
{
    auto fleet = budget_fleet{};
    auto const rest = fleet_size / 2;
    fleet.run(seconds{20}, refusing);
    // The records of those that stop are deleted while they answer requests.
    for (auto i = std::size_t{0}; i < rest; ++i)
        fleet.read_list(i, rest);
    fleet.run(seconds{6}, refusing);
    for (auto i = rest; i < fleet_size; ++i)
        fleet.restart(i);
    fleet.run(seconds{14}, refusing);
    for (auto i = std::size_t{0}; i < rest; ++i)
        fleet.read_list(i, fleet_size);
    fleet.run(seconds{20}, refusing);
    CHECK(fleet.worst_use_of_budget() <= 1);
}

TEST_CASE("budget sums: restarted instances list a part of the fleet for long")
{
    for (auto const listed : {4, 3, -4, -3}) // Negative: records are lost.
        for (auto const late : {4, 9, 15, 40})
        {
            CAPTURE(listed);
            CAPTURE(late);
            auto fleet = budget_fleet{};
            fleet.run(seconds{20}, refusing);
            if (listed < 0)
                fleet.lose_records(0);
            for (auto i = std::size_t{0}; i < fleet_size; ++i)
                fleet.restart(i, false);
            for (auto i = std::size_t{0}; i < fleet_size; ++i)
                fleet.read_list(
                    i, i / static_cast<std::size_t>(std::abs(listed)) + 1);
            fleet.run(seconds{late}, refusing);
            for (auto i = std::size_t{0}; i < fleet_size; ++i)
                fleet.read_list(i, fleet_size);
            fleet.run(seconds{40}, refusing);
            CHECK(fleet.worst_use_of_budget() <= 1);
        }
}

TEST_CASE("budget sums: a third is cut off, the others list two thirds")
{
    for (auto const length : {9, 19, 25, 40, 90})
    {
        CAPTURE(length);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, refusing);
        auto const rest = 2 * fleet_size / 3;
        fleet.lose_records(rest);
        for (auto i = rest; i < fleet_size; ++i)
            fleet.cut_off(i);
        for (auto k = 0; k < length; ++k)
        {
            for (auto i = std::size_t{0}; i < rest; ++i)
                fleet.read_list(i, rest);
            fleet.run(seconds{1}, refusing);
        }
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.read_list(i, fleet_size);
        fleet.run(seconds{40}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: all restart after a cut, two thirds list two thirds")
{
    for (auto const cut_remains : {false, true})
    {
        CAPTURE(cut_remains);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, refusing);
        auto const rest = 2 * fleet_size / 3;
        for (auto i = rest; i < fleet_size; ++i)
            fleet.cut_off(i);
        for (auto i = std::size_t{0}; i < rest; ++i)
            fleet.read_list(i, rest);
        fleet.run(seconds{9}, refusing);
        if (cut_remains)
            fleet.lose_records(rest);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            fleet.restart(i, false);
        for (auto i = std::size_t{0}; i < fleet_size; ++i)
            if (i < rest || !cut_remains)
                fleet.read_list(i, i < rest ? rest : fleet_size);
        for (auto k = 0; k < 40; ++k)
        {
            fleet.run(seconds{1}, refusing);
            for (auto i = std::size_t{0}; cut_remains && i < rest; ++i)
                fleet.read_list(i, rest);
        }
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: a fleet has grown and the older ones do not list it")
{
    for (auto const grown : {10, 20, 40})
    {
        CAPTURE(grown);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, refusing);
        fleet.grow(static_cast<std::size_t>(grown));
        fleet.run(seconds{30}, refusing);
        for (auto i = std::size_t{0}; i < fleet.instances(); ++i)
            fleet.read_list(i, fleet.instances());
        fleet.run(seconds{30}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: targets stood still and then read all at once")
{
    for (auto const length : {3, 6, 9, 15, 30, 45})
    {
        CAPTURE(length);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, calm);
        fleet.run_silent(seconds{length});
        fleet.deliver_unread();
        fleet.run(seconds{30}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: all restart while targets stand still")
{
    for (auto const before : {1, 8, 20})
        for (auto const after : {1, 3, 12, 45})
        {
            CAPTURE(before);
            CAPTURE(after);
            auto fleet = budget_fleet{};
            fleet.run(seconds{20}, calm);
            fleet.run_silent(seconds{before});
            for (auto i = std::size_t{0}; i < fleet_size; ++i)
                fleet.restart(i);
            fleet.run_silent(seconds{after});
            fleet.deliver_unread();
            fleet.run(seconds{30}, refusing);
            CHECK(fleet.worst_use_of_budget() <= 1);
        }
}

TEST_CASE("budget sums: a target that resets all requests does not stand still")
{
    auto fleet = budget_fleet{};
    fleet.run(seconds{20}, calm);
    for (auto i = std::size_t{0}; i < fleet_size; ++i)
        fleet.restart(i);
    fleet.run(seconds{30}, {1, 0});
    CHECK(fleet.worst_use_of_budget() <= 1);
    CHECK(fleet.worst_use_of_budget() > 0.5);
}

TEST_CASE("budget sums: a fleet grows while targets stand still")
{
    for (auto const before : {1, 4, 8})
        for (auto const after : {1, 6, 12, 20})
        {
            CAPTURE(before);
            CAPTURE(after);
            auto fleet = budget_fleet{};
            fleet.run(seconds{20}, calm);
            fleet.run_silent(seconds{before});
            fleet.grow(fleet_size);
            for (auto i = std::size_t{0}; i < fleet.instances(); ++i)
                fleet.read_list(i, fleet.instances());
            fleet.run_silent(seconds{after});
            fleet.deliver_unread();
            fleet.run(seconds{30}, refusing);
            CHECK(fleet.worst_use_of_budget() <= 1);
        }
}

TEST_CASE("budget sums: halves of the fleet restart in turns")
{
    for (auto const length : {2, 5, 8})
    {
        CAPTURE(length);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, refusing);
        for (auto k = std::size_t{0}; k < 6; ++k)
        {
            for (auto i = k % 2; i < fleet_size; i += 2)
                fleet.restart(i);
            fleet.run(seconds{length}, refusing);
        }
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: many instances that get few requests each")
{
    for (auto const seed : {1, 2, 3})
    {
        CAPTURE(seed);
        auto fleet =
            budget_fleet{{295, 630, 0.083, static_cast<std::uint64_t>(seed)}};
        fleet.run(seconds{60}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}

TEST_CASE("budget sums: callers move to half of the fleet")
{
    for (auto const plan :
        {fleet_plan{}, fleet_plan{40, 50, 1, 1}, fleet_plan{6, 52, 1, 1}})
    {
        CAPTURE(plan.extra);
        auto fleet = budget_fleet{plan};
        fleet.run(seconds{20}, calm);
        fleet.run(seconds{3}, refusing);
        fleet.send_to(plan.instances / 2);
        fleet.run(seconds{30}, refusing);
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}
