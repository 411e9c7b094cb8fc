/// Fleets whose store comes back from an older copy.
#include "dispatch/fleet_drill.hpp"

#include <doctest/doctest.h>

#include <array>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::order_state;
using ks::seconds;
using ks::store_kind;

namespace
{

constexpr auto both_outages = std::array{outage::silent, outage::broken};
constexpr auto away = milliseconds{700};
/// Until which instances write again what the store has lost.
constexpr auto written_within = seconds{10};

/// Changes a target every half second.
auto run_with_changes(fleet_drill& d, int changes) -> void
{
    for (auto i = 0; i < changes; ++i)
    {
        d.fleet.change_target();
        d.run(milliseconds{500});
    }
}

/// Waits until everything must be known.
auto settle(fleet_drill& d) -> void
{
    d.run(drill_known_within + drill_lapse_grace);
}

auto has_record(fleet_drill const& d, std::size_t i) -> bool
{
    return d.fleet.store().find(
               store_kind::instances, "i" + std::to_string(i)) != nullptr;
}

} // namespace

TEST_CASE("restored fleet: what is written after the store came back is known "
          "everywhere in time")
{
    for (auto const n : {6u, 40u, 200u})
        for (auto const how : both_outages)
        {
            CAPTURE(n);
            CAPTURE(static_cast<int>(how));
            auto d = fleet_drill{drill_setup(n)};
            d.run(seconds{15});
            run_with_changes(d, 8);
            d.change_config();
            d.run(milliseconds{500});
            d.fleet.restore(seconds{3}, away, how);
            d.run(away + milliseconds{100});
            d.fleet.change_target();
            d.evacuate(true);
            settle(d);
            CHECK(d.fault() == "");
            CHECK(d.fleet.longest_lag() <= drill_known_within);
        }
}

TEST_CASE("restored fleet: two losses within ten seconds are followed")
{
    for (auto const how : both_outages)
    {
        auto d = fleet_drill{drill_setup(20)};
        d.run(seconds{15});
        run_with_changes(d, 6);
        d.change_config();
        d.evacuate(true);
        d.fleet.restore(seconds{2}, away, how);
        d.run(seconds{2});
        run_with_changes(d, 4);
        d.evacuate(false);
        d.change_config();
        d.run(milliseconds{300});
        d.fleet.restore(seconds{5}, away, how);
        d.run(away + milliseconds{300});
        run_with_changes(d, 4);
        settle(d);
        CHECK(d.fault() == "");
    }
}

TEST_CASE("restored fleet: an instance that was frozen or cut off through two "
          "losses follows the store again")
{
    for (auto const frozen : {false, true})
    {
        CAPTURE(frozen);
        auto d = fleet_drill{drill_setup(20)};
        d.run(seconds{15});
        run_with_changes(d, 4);
        auto const end = d.fleet.now + seconds{8};
        for (std::size_t i = 0; i < 20; i += 5)
            if (frozen)
                d.fleet.freeze_until(i, end);
            else
                d.fleet.cut_until(i, end);
        for (auto k = 0; k < 2; ++k)
        {
            d.fleet.restore(seconds{2}, away, outage::broken);
            d.run(away + milliseconds{100});
            run_with_changes(d, 4);
            d.change_config();
        }
        d.run(end - d.fleet.now);
        settle(d);
        CHECK(d.fault() == "");
    }
}

TEST_CASE("restored fleet: a list whose pages are of two eras is not used")
{
    for (auto const after : {100, 200, 400, 700})
    {
        CAPTURE(after);
        auto setup = drill_setup(6);
        setup.page_size = 3;
        auto d = fleet_drill{setup};
        d.run(seconds{15});
        run_with_changes(d, 6);
        d.fleet.faults.late = 1;
        d.fleet.faults.latest = milliseconds{300};
        d.fleet.start_instance();
        d.run(milliseconds{after});
        d.fleet.restore(seconds{3}, milliseconds{0}, outage::silent);
        d.run(milliseconds{400});
        d.fleet.faults = {};
        settle(d);
        CHECK(d.fault() == "");
    }
}

TEST_CASE("restored fleet: each instance writes its lost record again")
{
    for (auto const how : both_outages)
    {
        auto d = fleet_drill{drill_setup(20)};
        d.run(seconds{20});
        d.fleet.restore(milliseconds{19'900}, away, how);
        d.run(away + written_within);
        for (std::size_t i = 0; i < 20; ++i)
            CHECK(has_record(d, i));
        CHECK(d.fault() == "");
    }
}

TEST_CASE("restored fleet: an instance that starts during a loss becomes ready "
          "and is recorded")
{
    for (auto const after : {20, 100, 500, 1'000, 2'000})
        for (auto const how : both_outages)
        {
            CAPTURE(after);
            auto d = fleet_drill{drill_setup(8)};
            d.run(seconds{15});
            d.fleet.start_instance();
            d.run(milliseconds{after});
            d.fleet.restore(seconds{3}, away, how);
            d.run(away + written_within);
            CHECK(d.fleet.view(8).ready);
            CHECK(has_record(d, 8));
            CHECK(d.fault() == "");
        }
}

TEST_CASE("restored fleet: a record that came back during a planned stop is "
          "deleted again")
{
    for (auto const after : {100, 500, 1'500})
        for (auto const how : both_outages)
        {
            CAPTURE(after);
            auto d = fleet_drill{drill_setup(8)};
            d.run(seconds{15});
            d.fleet.stop(3);
            d.run(milliseconds{after});
            d.fleet.restore(seconds{3}, away, how);
            d.run(seconds{10});
            CHECK(!d.fleet.alive(3));
            CHECK(!has_record(d, 3));
            CHECK(d.fault() == "");
        }
}

TEST_CASE("restored fleet: a rollout goes on and its lost state is written "
          "again")
{
    for (auto const after : {300, 1'000, 3'000, 11'000})
        for (auto const how : both_outages)
        {
            CAPTURE(after);
            auto d = fleet_drill{drill_setup(6)};
            d.run(seconds{15});
            d.order_rollout();
            d.run(milliseconds{after});
            d.fleet.restore(seconds{3}, away, how);
            d.run(seconds{13});
            CHECK(d.rollout_state() == order_state::completed);
            CHECK(d.fault() == "");
        }
}

TEST_CASE("restored fleet: an evacuation holds through a loss")
{
    for (auto const how : both_outages)
        for (auto const on : {false, true})
        {
            CAPTURE(on);
            auto d = fleet_drill{drill_setup(12)};
            d.run(seconds{15});
            d.evacuate(!on);
            d.run(seconds{5});
            d.evacuate(on);
            d.run(seconds{1});
            d.fleet.restore(seconds{2}, away, how);
            d.run(away + milliseconds{50}); // Before it is written again.
            for (std::size_t i = 0; i < 12; ++i)
                if (on)
                    CHECK(d.fleet.view(i).evacuated.contains("z1"));
            settle(d);
            CHECK(d.fault() == "");
        }
}
