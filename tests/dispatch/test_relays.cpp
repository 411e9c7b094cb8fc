#include "core/dispatch/relays.hpp"
#include "dispatch/store_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::seconds;

namespace
{

auto setup_of(std::size_t instances, std::size_t zones) -> store_fleet_setup
{
    auto s = store_fleet_setup{};
    s.instances = instances;
    s.zones = zones;
    s.bounds.drain = milliseconds{8'000};
    return s;
}

/// Changes a target every half second.
auto run_with_changes(store_fleet& f, ks::duration length) -> void
{
    auto next = f.now;
    f.run(length,
        [&]
        {
            if (f.now < next)
                return;
            f.change_target();
            next = f.now + milliseconds{500};
        });
}

/// Calls to the store of a fleet in 20 s with frequent changes.
auto calls_of(store_fleet_setup const& setup) -> double
{
    auto f = store_fleet{setup};
    f.run(seconds{15});
    auto const before = f.calls;
    run_with_changes(f, seconds{20});
    return f.calls - before;
}

} // namespace

TEST_CASE("relays: the calls of a fleet hardly grow with its number")
{
    auto const small = calls_of(setup_of(16, 2));
    auto const large = calls_of(setup_of(160, 2));
    auto direct = setup_of(160, 2);
    direct.relays = false;
    CAPTURE(small);
    CAPTURE(large);
    CHECK(large < 1.2 * small + 160);
    CHECK(large < calls_of(direct) / 5);
}

TEST_CASE("relays: changes are known everywhere as soon as without relays")
{
    auto f = store_fleet{setup_of(60, 2)};
    f.run(seconds{15});
    CHECK(f.attached() == 56);
    run_with_changes(f, seconds{20});
    f.run(seconds{2});
    CHECK(f.longest_lag() <= seconds{2});
}

TEST_CASE("relays: a killed, frozen, cut or silent relay delays no change "
          "beyond half of the drain time")
{
    for (auto const what : {0, 1, 2, 3})
    {
        CAPTURE(what);
        auto f = store_fleet{setup_of(40, 2)};
        f.run(seconds{15});
        auto const end = f.now + seconds{12};
        for (std::size_t i = 0; i < 40; i += 3)
            if (what == 0)
                f.kill(i);
            else if (what == 1)
                f.freeze_until(i, end);
            else if (what == 2)
                f.cut_until(i, end);
            else
                f.silence_connections(i);
        run_with_changes(f, seconds{20});
        f.run(seconds{4});
        CHECK(f.longest_lag() <= seconds{4});
    }
}

TEST_CASE("relays: after a silence of the store every instance is up to date "
          "within a second")
{
    for (auto const n : {6u, 40u, 200u})
        for (auto const length : {3, 6, 7})
        {
            CAPTURE(n);
            CAPTURE(length);
            auto f = store_fleet{setup_of(n, 2)};
            f.run(seconds{15});
            auto const end = f.now + seconds{length};
            f.silence_until(end);
            f.run(seconds{length} - milliseconds{100});
            f.change_target();
            f.run(milliseconds{1'100});
            f.run(seconds{1}); // So that a later time is seen, too.
            CHECK(f.longest_lag() <= milliseconds{1'100});
        }
}

TEST_CASE("relays: each instance lists the instances itself")
{
    auto f = store_fleet{setup_of(40, 2)};
    f.run(seconds{45});
    CHECK(f.attached() == 36);
    for (std::size_t i = 0; i < 40; ++i)
    {
        auto lists = 0;
        for (auto const& it : f.core(i).commands_of<store_list>())
            lists += it.kind == ks::store_kind::instances ? 1 : 0;
        CHECK(lists >= 5); // After 0, 1.5, 4.5, 10.5, 22.5, 42.5 s.
    }
}

TEST_CASE("relays: a zone with few instances needs none")
{
    auto f = store_fleet{setup_of(12, 2)};
    f.run(seconds{15});
    CHECK(f.attached() == 0);
}

TEST_CASE("relays: all instances of a zone agree on whom to ask")
{
    auto all = std::map<std::string, ks::instance_record>{};
    for (auto i = 0; i < 30; ++i)
    {
        auto const name = "i" + std::to_string(i);
        all[name] = {name, "z", "r", "10.0.0.1:" + std::to_string(i + 1)};
    }
    auto asked = std::map<std::string, int>{};
    auto relays = 0;
    for (auto const& [name, it] : all)
    {
        auto const list = relay_candidates(it, all);
        if (list.empty())
            ++relays;
        else
            ++asked[list.front().name];
    }
    CHECK(relays == 2);
    REQUIRE(asked.size() == 2);
    for (auto const& [name, n] : asked)
    {
        CHECK(relay_candidates(all.at(name), all).empty());
        CHECK(n >= 7); // Of 28; half of them on average.
    }
}

TEST_CASE("relays: changes are known in time under random interleavings of "
          "faults")
{
    CHECK(rc::check(
        []
        {
            auto const n = *rc::gen::inRange<std::size_t>(14, 40);
            auto f = store_fleet{setup_of(n, 2)};
            f.run(seconds{15});
            auto const faults = *rc::gen::inRange(1, 6);
            for (auto k = 0; k < faults; ++k)
            {
                auto const i = *rc::gen::inRange<std::size_t>(0, n);
                auto const length = milliseconds{*rc::gen::inRange(200, 6'000)};
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    f.kill(i);
                    break;
                case 1:
                    f.freeze_until(i, f.now + length);
                    break;
                case 2:
                    f.cut_until(i, f.now + length);
                    break;
                default:
                    f.silence_connections(i);
                }
                run_with_changes(
                    f, milliseconds{*rc::gen::inRange(100, 3'000)});
            }
            f.run(seconds{5});
            RC_ASSERT(f.longest_lag() <= seconds{4});
        }));
}
