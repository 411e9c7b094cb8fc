// Outcomes for callers under loads that require queueing, refusing and choosing
// among targets.
#include "dispatch/load.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

constexpr auto objective = milliseconds{200};
constexpr auto instances = std::size_t{8};

auto share(std::size_t n, load_result const& r) -> double
{
    return static_cast<double>(n) / static_cast<double>(r.submitted);
}

/// One target with 3 slots, which serves 200 requests per second.
auto one_target() -> load_simulation
{
    return load_simulation{{instances, config_of(single_route("s")),
        {make_registration("s-a", "s", "a")}, {{"s-a", {}}}}};
}

/// A load of five seconds.
auto at_rate(double per_s) -> load_plan
{
    return {per_s, ks::seconds{5}, objective};
}

} // namespace

TEST_CASE("load: an overloaded target serves what it can in time")
{
    auto load = one_target();
    auto const got = load.simulate(at_rate(290));
    CHECK(share(got.in_time, got) >= 0.6);
    CHECK(share(got.failed, got) <= 0.02);
    CHECK(got.slowest_refusal <= objective / 4);
}

TEST_CASE("load: without overload nothing is refused")
{
    auto load = one_target();
    auto const got = load.simulate(at_rate(150));
    CHECK(got.refused == 0);
    CHECK(share(got.in_time, got) >= 0.99);
}

TEST_CASE("load: gathers that need an overloaded shard are refused")
{
    auto targets = three_targets("s1");
    targets.push_back(make_registration("s0-a", "s0", "a"));
    auto load =
        load_simulation{{instances, config_of(shard_route({"s0", "s1"}, 1.0)),
            targets, {{"s0-a", {}}, {"s1-a", {}}, {"s1-b", {}}, {"s1-c", {}}}}};
    auto const got = load.simulate(at_rate(290));
    CHECK(share(got.in_time, got) >= 0.6);
    CHECK(share(got.failed, got) <= 0.02);
    CHECK(got.slowest_refusal <= objective / 4);
}

TEST_CASE("load: targets that refuse part of the requests cost few answers")
{
    auto shards = std::vector<std::string>{};
    auto targets = std::vector<ks::target_registration>{};
    auto models = std::map<std::string, target_model>{};
    for (auto i = 0; i < 6; ++i)
    {
        auto const service = "s" + std::to_string(i);
        shards.push_back(service);
        for (auto const& it : three_targets(service))
        {
            targets.push_back(it);
            models[it.name].refuse_every = i < 3 ? 3 : 0;
        }
    }
    auto load = load_simulation{
        {instances, config_of(shard_route(shards, 0.8)), targets, models}};
    auto const got = load.simulate(at_rate(150));
    // The retry budget of each shard covers half of the refusals; an answer may
    // lack one of the six shards.
    CHECK(share(got.in_time, got) >= 0.95);
    CHECK(share(got.failed, got) <= 0.02);
}

TEST_CASE(
    "load: a fleet larger than a service's connection limit is fully served")
{
    constexpr auto many = std::size_t{60};
    constexpr auto accepts = std::uint32_t{8}; // By each of three targets.
    auto c = config_of(single_route("s"));
    c.services = {{"s", "/health", accepts, milliseconds{0}, 0}};
    auto load = load_simulation{{many, c, three_targets("s"),
        {{"s-a", {}}, {"s-b", {}}, {"s-c", {}}}, accepts}};
    auto const got = load.simulate({100, ks::seconds{10}, objective});
    CHECK(share(got.in_time, got) >= 0.99);
    CHECK(share(got.failed + got.refused, got) <= 0.002);
}
