#include "dispatch/rollout_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::order_state;
using ks::seconds;

namespace
{

/// Carries out an order over its whole length and a while longer.
auto play(rollout_fleet& f, rollout_load const& load) -> void
{
    f.run(load, seconds{2});
    f.order();
    f.run(load, seconds{40});
}

/// Checks that a bad version was rolled back within the bounds.
auto check_rolled_back(rollout_fleet const& f) -> void
{
    INFO("bad=" << f.bad << " new=" << f.new_sent << " old=" << f.old_sent
                << " late=" << f.sent_too_late << " excess=" << f.excess());
    CHECK(f.state() == order_state::rolled_back);
    CHECK(f.sent_too_late == 0);
    CHECK(f.excess() <= 0);
}

auto route_of(std::string const& name, std::string const& path) -> ks::route
{
    auto r = single_route("s");
    r.name = name;
    r.path_start = path;
    return r;
}

} // namespace

TEST_CASE("exposure: a bad version whose faults are spread over many instances "
          "is rolled back")
{
    for (auto const n : {6u, 8u, 71u})
        for (auto const rate : {8.0, 20.0, 45.0})
        {
            CAPTURE(n);
            CAPTURE(rate);
            auto model = version_model{};
            model.failing = 0.35;
            auto f = rollout_fleet{n, model};
            play(f, {rate});
            check_rolled_back(f);
        }
}

TEST_CASE("exposure: a version that turns bad when it gets all requests is "
          "rolled back")
{
    for (auto const n : {6u, 71u})
        for (auto const rate : {20.0, 45.0})
        {
            CAPTURE(n);
            CAPTURE(rate);
            auto model = version_model{};
            model.failing = 0.5;
            model.sound_for = milliseconds{8'500};
            auto f = rollout_fleet{n, model};
            play(f, {rate});
            check_rolled_back(f);
        }
}

TEST_CASE("exposure: a version that is bad on one of several routes is rolled "
          "back")
{
    for (auto const n : {6u, 8u})
    {
        CAPTURE(n);
        auto model = version_model{};
        model.failing = 0.5;
        model.only_path = "/b/x";
        auto f = rollout_fleet{n, model,
            {route_of("a", "/a/"), route_of("b", "/b/"), route_of("c", "/c/"),
                route_of("d", "/d/"), route_of("e", "/e/")}};
        play(f, {45, {"/a/x", "/b/x", "/c/x", "/d/x", "/e/x"}});
        check_rolled_back(f);
    }
}

TEST_CASE("exposure: a version that is slow on part of its requests is rolled "
          "back")
{
    for (auto const n : {6u, 71u})
    {
        CAPTURE(n);
        auto model = version_model{};
        model.slow = 0.3;
        auto f = rollout_fleet{n, model};
        play(f, {45});
        check_rolled_back(f);
    }
}

TEST_CASE(
    "exposure: a version that was rolled back is not used again while its "
    "targets run")
{
    for (auto const replaced : {false, true})
    {
        auto model = version_model{};
        model.failing = 0.5;
        auto f = rollout_fleet{6, model};
        play(f, {20});
        REQUIRE(f.state() == order_state::rolled_back);
        f.new_sent = 0;
        if (replaced)
            f.order_other("v3");
        else
            f.remove_order();
        f.run({20}, seconds{5});
        CHECK(f.old_sent > 0);
        CHECK(f.new_sent == 0);
    }
}

TEST_CASE("exposure: an instance that starts during a rollout sends nothing to "
          "the new version before it knows the order")
{
    auto r = harness{};
    auto old_target = make_registration("t1", "s", "a");
    auto new_target = make_registration("t2", "s", "a");
    new_target.version = "v2";
    r.feed(store_listed{ks::store_kind::configuration,
        {{"main", 11, config_of(single_route("s"))}}, "", 11});
    r.feed(store_listed{ks::store_kind::rollouts, {}, "", 9}); // Stale.
    r.feed(store_listed{ks::store_kind::targets,
        {{"t1", 12, old_target}, {"t2", 13, new_target}}, "", 13});
    for (auto i = 0; i < 10; ++i)
        r.submit("q" + std::to_string(i));
    CHECK(r.take_sent().empty());
    auto const lists = r.commands_of<store_list>();
    REQUIRE(!lists.empty());
    CHECK(lists.back() == store_list{ks::store_kind::rollouts, "", false});
    auto const o =
        ks::rollout_order{"s", "v2", seconds{12}, order_state::running};
    r.feed(store_listed{ks::store_kind::rollouts, {{"s", 14, o}}, "", 14});
    for (auto i = 0; i < 10; ++i)
        r.submit("p" + std::to_string(i));
    auto const sent = r.take_sent();
    CHECK(sent.size() == 10);
    CHECK(std::count_if(sent.begin(), sent.end(),
              [](sent_request const& it) { return it.target == "t2"; }) <= 5);
}

TEST_CASE("exposure: targets of a new version are used when no order exists")
{
    auto r = harness{};
    auto next = make_registration("t2", "s", "a");
    next.version = "v2";
    r.feed_lists(
        config_of(single_route("s")), {make_registration("t1", "s", "a")});
    r.feed(store_changed{
        ks::store_kind::targets, {{{"t2", 50, next}, false}}, 50});
    CHECK(r.commands_of<store_list>().back() ==
          store_list{ks::store_kind::rollouts, "", false});
    r.feed(store_listed{ks::store_kind::rollouts, {}, "", 51});
    auto used = false;
    for (auto i = 0; i < 20; ++i)
        r.submit("q" + std::to_string(i));
    for (auto const& it : r.take_sent())
        used = used || it.target == "t2";
    CHECK(used);
}

TEST_CASE("exposure: a good version is completed in a fleet")
{
    for (auto const n : {6u, 71u})
        for (auto const rate : {0.5, 8.0, 45.0})
        {
            CAPTURE(n);
            CAPTURE(rate);
            auto f = rollout_fleet{n, {}};
            play(f, {rate});
            CHECK(f.state() == order_state::completed);
        }
}
