#include "core/dispatch/budget_claim.hpp"
#include "dispatch/budget_fleet.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <optional>
#include <vector>

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

TEST_CASE("budget sums: a claim that is no longer listed counts for a while")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const quarter = ks::whole_budget / 4;
    auto others = std::vector<ks::instance_record>{};
    for (auto const* name : {"a", "b", "c"})
        others.push_back({name, "z", "r", "", quarter});
    auto const own = stored_claim{quarter, {0, 1}};
    auto const listed = [&](std::size_t n, ks::time_point at)
    {
        return claim_list{{others.data(), n}, own, 0, at, true};
    };
    auto c = with_list({}, listed(3, t), window, t);
    c = with_list(c, listed(3, t + seconds{1}), window, t + seconds{1});
    CHECK(c.claimed == quarter);
    CHECK(usable_claim(c, t + seconds{10}) == 0);
    CHECK(usable_claim(c, t + seconds{11}) == quarter);
    // Two are gone: what they claimed is free after the hold.
    c = with_list(c, listed(1, t + seconds{30}), window, t + seconds{30});
    c = with_list(c, listed(1, t + seconds{60}), window, t + seconds{60});
    c = with_list(c, listed(1, t + seconds{79}), window, t + seconds{79});
    CHECK(claimants(c) == 4);
    CHECK(c.claimed == quarter);
    c = with_list(c, listed(1, t + seconds{80}), window, t + seconds{80});
    CHECK(claimants(c) == 2);
    CHECK(c.claimed == 2 * quarter);
    // It is not used until the store is known to hold it, and for a window.
    auto const more = stored_claim{2 * quarter, {0, 2}};
    c = with_stored(c, more, t + seconds{81});
    CHECK(usable_claim(c, t + seconds{82}) == quarter);
    auto const last =
        claim_list{{others.data(), 1}, more, 0, t + seconds{82}, true};
    c = with_list(c, last, window, t + seconds{82});
    CHECK(usable_claim(c, t + seconds{91}) == quarter);
    CHECK(usable_claim(c, t + seconds{92}) == 2 * quarter);
    // Without a list it is used no longer than for the lease.
    CHECK(usable_claim(c, t + seconds{121}) == 2 * quarter);
    CHECK(usable_claim(c, t + seconds{122}) == 0);
}

TEST_CASE("budget sums: a claim that the store has lost is not taken by others "
          "while its owner may use it")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const half = ks::whole_budget / 2;
    auto others = std::vector<ks::instance_record>{{"a", "z", "r", "", half}};
    auto own = stored_claim{half, {1, 1}};
    auto c = budget_claim{};
    auto const read = [&](int at, std::uint64_t era, bool listed)
    {
        auto const now = t + seconds{at};
        auto const record = listed ? std::optional{own} : std::nullopt;
        c = with_list(c, {others, record, era, now, true}, window, now);
        return usable_claim(c, now);
    };
    read(0, 1, true);
    read(1, 1, true);
    CHECK(read(12, 1, true) == half);
    // An older copy of the store: a's claim is smaller, the own one is missing.
    others[0].budget_claim = 0;
    CHECK(read(20, 2, false) == half);
    CHECK(c.claimed == half);
    own = {half, {2, 1}};
    c = with_stored(c, own, t + seconds{21});
    CHECK(read(22, 2, true) == half);
    CHECK(c.claimed == half);
    // Nothing is listed for longer than the lease: it must be confirmed anew.
    CHECK(usable_claim(c, t + seconds{62}) == 0);
    CHECK(read(63, 2, true) == 0);
    CHECK(usable_claim(c, t + seconds{72}) == 0);
    CHECK(usable_claim(c, t + seconds{73}) == half);
    // a has not written its claim again.
    CHECK(claimants(c) == 2);
    read(74, 2, true);
    CHECK(c.claimed == half);
}

TEST_CASE("budget sums: a process that starts in a fleet claims at once")
{
    auto const t = ks::time_point{seconds{100}};
    auto const window = ks::duration{seconds{10}};
    auto const third = ks::whole_budget / 3;
    auto const others = std::vector<ks::instance_record>{
        {"a", "z", "r", "", third}, {"b", "z", "r", "", third}};
    auto c = with_list({}, {others, std::nullopt, 0, t, false}, window, t);
    CHECK(c.claimed == third);
    CHECK(usable_claim(c, t + seconds{30}) == 0);
    // Of a fleet that starts the first list may hold few.
    c = with_list({}, {{}, std::nullopt, 0, t, false}, window, t);
    CHECK(c.claimed == 0);
}

TEST_CASE("budget sums: of two claims that are too large the later list knows")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const most = ks::whole_budget * 3 / 4;
    auto const list_of = [&](char const* other, std::uint32_t claim,
                             std::vector<ks::instance_record>& all, int at)
    {
        all = {{other, "z", "r", "", claim}};
        return claim_list{
            all, stored_claim{most, {0, 1}}, 0, t + seconds{at}, true};
    };
    auto all = std::vector<ks::instance_record>{};
    auto a = with_list({}, list_of("b", 0, all, 0), window, t);
    auto b = with_list({}, list_of("a", most, all, 0), window, t);
    a = with_list(a, list_of("b", 0, all, 1), window, t + seconds{1});
    b = with_list(b, list_of("a", most, all, 2), window, t + seconds{2});
    auto const sum =
        usable_claim(a, t + seconds{20}) + usable_claim(b, t + seconds{20});
    CHECK(sum <= ks::whole_budget);
    CHECK(usable_claim(b, t + seconds{20}) == ks::whole_budget - most);
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
