#include "scenarios.hpp"

#include <algorithm>
#include <functional>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto shard_count = 12;
constexpr auto min_coverage = 0.9;
constexpr auto length = seconds{20};
constexpr auto objective = milliseconds{100};
constexpr auto calm_rate = 100.0; ///< Gathers a second.

auto shard_name(int i) -> std::string
{
    return "s" + std::to_string(i);
}

/// A target that varies somewhat; in the instances' zone or out of it.
auto usual_target(std::string const& zone) -> target_model
{
    auto t = target_model{};
    t.slots = 4;
    t.processing_time = milliseconds{8};
    t.processing_spread = 0.5;
    t.network_delay = duration{zone == "a" ? 500 : 8'000};
    return t;
}

/// Gathers over shards of three targets each, in three zones.
auto gathers(std::string name, std::string about) -> scenario
{
    auto s = scenario{std::move(name), std::move(about), {}, {}};
    auto shards = std::vector<std::string>{};
    for (auto i = 0; i < shard_count; ++i)
    {
        shards.push_back(shard_name(i));
        for (auto const& it : three_targets(shards.back()))
        {
            s.init.registered.push_back(it);
            s.init.targets[it.name] = usual_target(it.zone);
        }
    }
    s.init.instances = 8;
    auto r = shard_route(shards, min_coverage);
    r.latency_objective = objective;
    s.init.config = config_of(r);
    s.plan = {calm_rate, length, objective, 1, true};
    return s;
}

using change = std::function<void(target_model&)>;

/// Changes the target of each shard that lies in a zone.
auto with_zone(scenario s, std::string const& zone, int shards,
    change const& apply) -> scenario
{
    for (auto i = 0; i < shards; ++i)
        apply(s.init.targets.at(shard_name(i) + "-" + zone));
    return s;
}

auto with_all(scenario s, change const& apply) -> scenario
{
    for (auto& [name, it] : s.init.targets)
        apply(it);
    return s;
}

auto pausing(scenario s) -> scenario
{
    return with_all(std::move(s),
        [](target_model& it)
        {
            it.pause_every = seconds{3};
            it.pause_length = milliseconds{120};
        });
}

auto small_fleet_limits(scenario s) -> scenario
{
    constexpr auto accepts = std::uint32_t{16};
    s.init.instances = 60;
    s.init.accept_limit = accepts;
    for (auto i = 0; i < shard_count; ++i)
        s.init.config.services.push_back(
            {shard_name(i), "/health", accepts, milliseconds{0}, 0});
    return s;
}

/// A shard that each answer needs has two targets that hang, and a slow one.
auto half_hung(scenario s) -> scenario
{
    std::get<to_shards>(s.init.config.routes.front().to).min_coverage = 1;
    for (auto const* name : {"s0-a", "s0-b"})
        s.init.targets.at(name).hang_every = 3;
    s.init.targets.at("s0-c").processing_time *= 8;
    return s;
}

/// A shard has no target left; another, which each answer then needs, has one,
/// four times as slow.
auto narrow(scenario s) -> scenario
{
    std::erase_if(s.init.registered,
        [](target_registration const& it) {
            return it.service == "s0" ||
                   (it.service == "s1" && it.name != "s1-a");
        });
    s.init.targets.at("s1-a").processing_time *= 4;
    return s;
}

auto at_rate(scenario s, double per_s) -> scenario
{
    s.plan.rate_per_s = per_s;
    return s;
}

} // namespace

auto all_scenarios() -> std::vector<scenario>
{
    auto const slow = [](target_model& it)
    {
        it.processing_time *= 8;
    };
    auto const hang = [](target_model& it)
    {
        it.hang_every = 3;
    };
    auto const refuse = [](target_model& it)
    {
        it.refuse_every = 3;
    };
    return {gathers("calm", "nothing is wrong"),
        pausing(gathers("pauses", "each target pauses 120 ms every 3 s")),
        with_zone(
            gathers("slow", "one target of each shard is 8 times as slow"), "a",
            shard_count, slow),
        at_rate(narrow(gathers("narrow", "a shard is down, another has one "
                                         "target, for 5/6 of what is asked")),
            150),
        half_hung(gathers("half-hung", "two targets of a needed shard hang on "
                                       "each third, the third is slow")),
        with_zone(gathers("hangs", "a target of each shard hangs each third"),
            "a", shard_count, hang),
        with_zone(
            gathers("refusals", "a target of half the shards refuses each "
                                "third"),
            "a", shard_count / 2, refuse),
        at_rate(pausing(gathers("full", "90% of the targets' slots are busy")),
            1'300),
        at_rate(
            gathers("overload", "1.5 times what the targets can serve"), 2'200),
        small_fleet_limits(
            gathers("connections", "60 instances, 48 connections to a shard"))};
}

} // namespace knapweedstream::dispatch
