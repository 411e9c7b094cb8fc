/// Random histories of a fleet whose store comes back from older copies.
#include "dispatch/fleet_drill.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::seconds;

namespace
{

auto random_time(int from, int to) -> milliseconds
{
    return milliseconds{*rc::gen::inRange(from, to)};
}

auto random_outage() -> outage
{
    return *rc::gen::element(outage::silent, outage::broken);
}

auto random_faults() -> answer_faults
{
    auto f = answer_faults{};
    f.lost = *rc::gen::element(0.0, 0.05);
    f.late = *rc::gen::element(0.0, 0.2);
    f.stale = *rc::gen::element(0.0, 0.5);
    f.without_era = *rc::gen::element(0.0, 0.2);
    f.busy = *rc::gen::element(0.0, 0.1);
    return f;
}

auto random_setup() -> store_fleet_setup
{
    auto s = drill_setup(*rc::gen::inRange<std::size_t>(1, 41));
    s.relays = *rc::gen::arbitrary<bool>();
    s.page_size = *rc::gen::element<std::size_t>(0, 5);
    s.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000);
    return s;
}

auto restore(fleet_drill& d) -> void
{
    d.fleet.restore(
        random_time(50, 8'000), random_time(0, 2'000), random_outage());
}

/// The operator or a target writes something.
auto random_write(fleet_drill& d) -> void
{
    switch (*rc::gen::inRange(0, 5))
    {
    case 0:
        return d.change_config();
    case 1:
        return d.evacuate(*rc::gen::arbitrary<bool>());
    case 2:
        return d.remove_drained();
    default:
        return d.fleet.change_target();
    }
}

/// Something happens to an instance.
auto random_disturbance(fleet_drill& d) -> void
{
    auto& f = d.fleet;
    auto const i = *rc::gen::inRange<std::size_t>(0, f.size());
    switch (*rc::gen::inRange(0, 5))
    {
    case 0:
        return f.freeze_until(i, f.now + random_time(100, 6'000));
    case 1:
        return f.cut_until(i, f.now + random_time(100, 6'000));
    case 2:
        return f.start_instance();
    case 3:
        return i == 0 ? f.silence_connections(i) : f.kill(i);
    default:
        return i == 0 ? f.silence_connections(i) : f.stop(i);
    }
}

auto random_step(fleet_drill& d) -> void
{
    auto const what = *rc::gen::inRange(0, 10);
    if (what < 2)
        restore(d);
    else if (what < 3)
        d.fleet.leave(random_time(50, 2'000), random_outage());
    else if (what < 5)
        random_disturbance(d);
    else
        random_write(d);
    d.run(random_time(20, 2'000));
}

/// The longest time until what was disturbed is in contact again: a call made
/// at the last moment fails after so long.
constexpr auto longest_disturbance = seconds{6};

} // namespace

TEST_CASE("restored fleet: random histories of writes, losses, lost, late and "
          "stale answers, pauses and cuts end with the store's content in use")
{
    CHECK(rc::check(
        []
        {
            auto d = fleet_drill{random_setup()};
            d.run(seconds{15});
            d.fleet.faults = random_faults();
            auto const n = *rc::gen::inRange(2, 12);
            for (auto k = 0; k < n; ++k)
                random_step(d);
            restore(d);
            d.run(random_time(0, 1'000));
            d.fleet.faults = {};
            d.run(longest_disturbance + drill_known_within + drill_lapse_grace);
            RC_ASSERT(d.fault() == "");
        }));
}
