/// The platform comes back from an older copy of its data, under a new era.
#include "../fakes.hpp"

#include <doctest/doctest.h>

using namespace fakes;

namespace
{

auto limit_in_force(world const& w, std::size_t i) -> std::uint32_t
{
    return w.instances[i]->live_node->configs().at(0).max_queries;
}

/// True if all instances use a configuration with this limit.
auto all_have(world const& w, std::uint32_t max_queries) -> bool
{
    auto all = true;
    for (std::size_t i = 0; i < w.instances.size(); ++i)
        all = all && limit_in_force(w, i) == max_queries;
    return all;
}

/// A version of the configuration, distinguished by its limit.
auto config_of(world const& w, store_version version, std::uint32_t max_queries)
    -> customer_config
{
    auto c = w.config;
    c.version = version;
    c.max_queries = max_queries;
    return c;
}

/// Instances that have read the versions 1 to 6 of era 1, with limits of 101 to
/// 106.
auto world_in_era_1(std::uint64_t seed) -> std::unique_ptr<world>
{
    auto w = standard_world(seed);
    w->platform.era = 1;
    for (auto n = 1u; n <= 6; ++n)
    {
        w->see_era(0);
        w->read_config(0, config_of(*w, {1, n}, 100 + n));
        w->run_for(seconds{2});
    }
    REQUIRE(all_have(*w, 106));
    return w;
}

auto runs_of(world const& w, std::string const& key) -> int
{
    auto n = 0;
    for (auto const& [address, l] : w.leafs)
        if (auto const it = l.booking_runs.find(key);
            it != l.booking_runs.end())
            n += it->second;
    return n;
}

/// Number of stored claims on a key that record that the booking ran.
auto stored_outcomes(world const& w, std::string const& key) -> int
{
    auto n = 0;
    for (auto const& [bucket, object] : w.platform.buckets)
        for (auto const& it : object.claims)
            n += it.key == key && it.state == claim_state::done ? 1 : 0;
    return n;
}

} // namespace

TEST_CASE("restored platform: a configuration that has got a lower version is "
          "applied by all instances")
{
    for (auto const number : {1u, 3u, 5u, 6u, 7u})
    {
        CAPTURE(number);
        auto w = world_in_era_1(60);
        ++w->platform.era;
        w->see_era(0);
        w->read_config(0, config_of(*w, {2, number}, 200));
        w->run_for(seconds{1});
        CHECK(all_have(*w, 200));
        w->read_config(0, config_of(*w, {2, number + 1}, 201));
        w->run_for(seconds{1});
        CHECK(all_have(*w, 201));
    }
}

TEST_CASE("restored platform: an older configuration of its copy is not "
          "applied, the operator's next one is")
{
    for (auto const number : {1u, 3u, 5u})
    {
        CAPTURE(number);
        auto w = world_in_era_1(61);
        for (auto loss = 0u; loss < 2; ++loss)
        {
            ++w->platform.era;
            w->see_era(0);
            w->read_config(
                0, config_of(*w, {w->platform.era, number}, 100 + number));
            w->run_for(seconds{5});
            CHECK(all_have(*w, 106));
        }
        w->read_config(0, config_of(*w, {w->platform.era, number + 1}, 200));
        w->run_for(seconds{1});
        CHECK(all_have(*w, 200));
    }
}

TEST_CASE("restored platform: a configuration unknown to an instance replaces "
          "the one in force after two seconds, or gives way to the next")
{
    for (auto const rewritten : {false, true})
    {
        auto w = standard_world(62);
        w->platform.era = 1;
        w->see_era(0);
        w->read_config(0, config_of(*w, {1, 6}, 106));
        w->run_for(seconds{1});
        REQUIRE(all_have(*w, 106));
        ++w->platform.era;
        w->see_era(0);
        w->read_config(0, config_of(*w, {2, 4}, 104));
        w->run_for(milliseconds{1'900});
        CHECK(all_have(*w, 106));
        if (rewritten)
            w->read_config(0, config_of(*w, {2, 5}, 206));
        w->run_for(milliseconds{200});
        CHECK(limit_in_force(*w, 0) == (rewritten ? 206 : 104));
        w->run_for(seconds{3});
        CHECK(all_have(*w, rewritten ? 206 : 104));
    }
}

TEST_CASE("restored platform: instances that do not watch it learn of the era, "
          "and announce themselves again")
{
    auto w = world_in_era_1(63);
    ++w->platform.era;
    w->see_era(0);
    w->run_for(seconds{2});
    CHECK(w->instances[1]->entered_era == 2);
    CHECK(w->instances[2]->entered_era == 2);
    for (auto const& it : w->instances)
        CHECK(it->live_node->stats().platform_restores == 1);
}

TEST_CASE("restored platform: a booking whose claim was lost does not run "
          "again, and its outcome is stored again")
{
    for (auto const resend_first : {false, true})
    {
        auto w = world_in_era_1(64);
        auto const before = w->platform.buckets;
        auto const a = w->book(0, "voorraad", "k");
        w->run_for(milliseconds{500});
        REQUIRE(runs_of(*w, "k") == 1);
        REQUIRE(stored_outcomes(*w, "k") == 1);
        w->platform.buckets = before;
        ++w->platform.era;
        if (!resend_first)
        {
            w->see_era(0);
            w->run_for(seconds{2});
            CHECK(stored_outcomes(*w, "k") == 1);
        }
        auto ids = std::vector<std::uint64_t>{};
        for (std::size_t i = 0; i < 3; ++i)
            ids.push_back(w->book(i, "voorraad", "k"));
        w->run_for(seconds{2});
        for (auto const id : ids)
            CHECK(w->callers[id].booking == w->callers[a].booking);
        CHECK(runs_of(*w, "k") == 1);
        w->see_era(0);
        w->run_for(seconds{2});
        CHECK(stored_outcomes(*w, "k") == 1);
    }
}

TEST_CASE("restored platform: claims written in the new era are not "
          "overwritten under a version of the earlier one")
{
    auto w = world_in_era_1(65);
    auto const a = w->book(0, "voorraad", "k");
    w->run_for(milliseconds{500});
    REQUIRE(stored_outcomes(*w, "k") == 1);
    // Another instance's claim has got the version that the executor knows.
    for (auto& [bucket, object] : w->platform.buckets)
        object.claims = {{"other", {7}, {7}, claim_state::done, "r", 1'000}};
    ++w->platform.era;
    // More keys than shards: some share the bucket of "k".
    for (auto i = 0; i < 24; ++i)
        w->book(0, "voorraad", "k" + std::to_string(i));
    w->run_for(seconds{2});
    CHECK(stored_outcomes(*w, "other") == 1);
    CHECK(stored_outcomes(*w, "k") == 1);
    CHECK(runs_of(*w, "k") == 1);
    for (auto i = 0; i < 24; ++i)
        CHECK(runs_of(*w, "k" + std::to_string(i)) == 1);
    CHECK(w->callers[a].count == 1);
}

TEST_CASE("restored platform: a rollout does not go back, and goes on")
{
    auto w = world_in_era_1(66);
    auto& policy = w->config.services[0].rollout;
    policy = {1, "v1", "v2", {5, 25, 50}, seconds{6}};
    w->read_config(0, config_of(*w, {1, 7}, 106));
    auto const percent = [&](std::size_t i)
    {
        auto const all = w->instances[i]->live_node->rollouts();
        return all.empty() ? 0u : all.at(0).percent;
    };
    w->run_for(milliseconds{1'000});
    REQUIRE(percent(0) == 5);
    auto const copy = w->platform.rollouts;
    w->run_for(milliseconds{1'700});
    REQUIRE(percent(0) == 25);
    w->platform.rollouts = copy;
    ++w->platform.era;
    w->see_era(0);
    for (auto i = 0; i < 100; ++i)
    {
        w->run_for(milliseconds{10});
        for (std::size_t k = 0; k < 3; ++k)
            CHECK(percent(k) >= 25);
    }
    CHECK(w->platform.rollouts.begin()->second.value.step >= 1);
    w->run_for(seconds{5});
    for (std::size_t k = 0; k < 3; ++k)
        CHECK(percent(k) == 100);
}
