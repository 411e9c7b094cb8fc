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
constexpr auto base_rate = 100.0; ///< Requests per second.

auto shard_name(int i) -> std::string
{
    return "s" + std::to_string(i);
}

/// A target whose work varies by half either way. Its network delay depends on
/// whether it is in the instances' zone, `a`.
auto default_target(std::string const& zone) -> target_model
{
    auto t = target_model{};
    t.slots = 4;
    t.processing_time = milliseconds{8};
    t.processing_spread = 0.5;
    t.network_delay = duration{zone == "a" ? 500 : 8'000};
    return t;
}

/// Scatter-gather requests over shards of three targets each, in three zones.
auto scatter_gather(std::string name, std::string description) -> scenario
{
    auto s = scenario{std::move(name), std::move(description), {}, {}};
    auto shards = std::vector<std::string>{};
    for (auto i = 0; i < shard_count; ++i)
    {
        shards.push_back(shard_name(i));
        for (auto const& it : three_targets(shards.back()))
        {
            s.init.registered.push_back(it);
            s.init.targets[it.name] = default_target(it.zone);
        }
    }
    s.init.instances = 8;
    auto r = shard_route(shards, min_coverage);
    r.latency_objective = objective;
    s.init.config = config_of(r);
    s.plan = {base_rate, length, objective, 1, true};
    return s;
}

using target_change = std::function<void(target_model&)>;

/// Changes the targets in a zone of the first `shards` shards.
auto with_changed_zone(scenario s, std::string const& zone, int shards,
    target_change const& apply) -> scenario
{
    for (auto i = 0; i < shards; ++i)
        apply(s.init.targets.at(shard_name(i) + "-" + zone));
    return s;
}

/// Changes the targets of all shards.
auto with_changed_targets(scenario s, target_change const& apply) -> scenario
{
    for (auto& [name, it] : s.init.targets)
        apply(it);
    return s;
}

/// Pauses each target for 120 ms every 3 s.
auto with_pauses(scenario s) -> scenario
{
    return with_changed_targets(std::move(s),
        [](target_model& it)
        {
            it.pause_every = seconds{3};
            it.pause_length = milliseconds{120};
        });
}

/// Runs 60 instances on targets that accept 16 connections each, 48 per shard.
auto with_connection_limit(scenario s) -> scenario
{
    constexpr auto accepts = std::uint32_t{16};
    s.init.instances = 60;
    s.init.accept_limit = accepts;
    for (auto i = 0; i < shard_count; ++i)
        s.init.config.services.push_back(
            {shard_name(i), "/health", accepts, milliseconds{0}, 0});
    return s;
}

/// All shards are required, and one of them has two targets that hang on every
/// third request and one that is 8 times as slow.
auto with_hanging_shard(scenario s) -> scenario
{
    std::get<to_shards>(s.init.config.routes.front().to).min_coverage = 1;
    for (auto const* name : {"s0-a", "s0-b"})
        s.init.targets.at(name).hang_every = 3;
    s.init.targets.at("s0-c").processing_time *= 8;
    return s;
}

/// One shard has no target, so that the minimum coverage requires all others.
/// One of these has a single target, which is four times as slow.
auto with_missing_shard(scenario s) -> scenario
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
    return {scatter_gather("calm", "no faults"),
        with_pauses(
            scatter_gather("pauses", "each target pauses 120 ms every 3 s")),
        with_changed_zone(scatter_gather("slow",
                              "one target of each shard is 8 times as slow"),
            "a", shard_count, slow),
        at_rate(with_missing_shard(scatter_gather("narrow",
                    "one shard has no target, another has one, "
                    "which can serve 5/6 of the requests")),
            150),
        with_hanging_shard(scatter_gather("half-hung",
            "two targets of a required shard hang on "
            "every third request, its other one is slow")),
        with_changed_zone(
            scatter_gather("hangs",
                "one target of each shard hangs on every third request"),
            "a", shard_count, hang),
        with_changed_zone(scatter_gather("refusals",
                              "one target of half the shards refuses every "
                              "third request"),
            "a", shard_count / 2, refuse),
        at_rate(with_pauses(scatter_gather(
                    "full", "90% of the targets' slots are busy")),
            1'300),
        at_rate(
            scatter_gather("overload", "1.5 times what the targets can serve"),
            2'200),
        with_connection_limit(scatter_gather(
            "connections", "60 instances, at most 48 connections per shard"))};
}

} // namespace knapweedstream::dispatch
