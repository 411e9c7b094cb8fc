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

/// A version of the configuration, told apart by its limit.
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
