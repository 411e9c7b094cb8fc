#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

TEST_CASE("queue: a part that waits for a connection does not end a gather")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    auto targets = two_shard_targets();
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 1.0)), three_targets("s0"));
    r.hold_opens = true;
    auto const c0 = r.submit("early");
    CHECK(r.answer_to(c0)); // The second shard has no known target yet.
    r.hold_opens = true;
    r.feed(store_changed{ks::store_kind::targets,
        {{{"s1-a", 900, make_registration("s1-a", "s1", "a")}, false}}, 900});
    auto const c = r.submit("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.advance(milliseconds{120});
    CHECK(!r.answer_to(c));
    r.succeed(s[0], "aaaaaaaaaaaaaaaa");
    CHECK(!r.answer_to(c));
    r.complete_held_opens();
    auto const late = r.take_sent();
    REQUIRE(late.size() == 1);
    r.succeed(late[0], "bbbbbbbbbbbbbbbb");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 0);
}

TEST_CASE("queue: a request that is not sent to a target is refused soon")
{
    auto r = harness{};
    r.finish_startup();
    r.hold_opens = true;
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const c = r.submit("q");
    auto const submitted = r.now;
    r.advance(milliseconds{500});
    REQUIRE(r.answer_to(c));
    CHECK(refusal_of(r, c).reason == ks::refusal_reason::overloaded);
    CHECK(r.answer_to(c)->at - submitted <= milliseconds{50});
}

TEST_CASE("queue: no request waits for a target that may not be connected to")
{
    // Two instances share two targets. Each target accepts two connections, one
    // of which may be used. So each instance may connect to one target only,
    // unless that target is unreachable.
    auto limits = dispatch_limits{};
    limits.min_connection_share = 0.5;
    auto r = harness{limits};
    r.finish_startup();
    auto c = config_of(single_route("s"));
    c.services = {{"s", "/health", 2, milliseconds{0}, 0}};
    r.feed_lists(c,
        {make_registration("s-a", "s", "a"),
            make_registration("s-b", "s", "b")},
        {{"me", "a", "north"}, {"you", "b", "south"}});
    auto const first = r.submit("q1");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    CHECK(s[0].target == "s-a");
    // The one connection is busy: the next request waits for it.
    auto const second = r.submit("q2");
    r.succeed(s[0]);
    auto const next = r.take_sent();
    REQUIRE(next.size() == 1);
    CHECK(next[0].target == "s-a");
    r.succeed(next[0]);
    CHECK(r.answer_to(first));
    CHECK(r.answer_to(second));
    // The near target is unreachable: only the far one is left.
    r.refused_addresses = {"s-a:1"};
    auto const third = r.submit("q3");
    r.break_connection(r.take_sent()[0]);
    auto const far = r.take_sent();
    REQUIRE(far.size() == 1);
    CHECK(far[0].target == "s-b");
    r.succeed(far[0]);
    CHECK(r.answer_to(third));
}

TEST_CASE("health: a target that hangs intermittently is avoided")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto to_near = 0;
    auto tried = 0;
    auto n = 0;
    for (auto i = 0; i < 80; ++i)
    {
        r.submit("q" + std::to_string(i));
        auto const first = r.take_sent();
        to_near += first[0].target == "s-a" ? 1 : 0;
        for (auto const& it : first)
            tried += it.target == "s-a" ? 1 : 0;
        // Every other request that reaches the near target is never answered.
        auto const hangs = first[0].target == "s-a" && ++n % 2 == 0;
        r.advance(milliseconds{15});
        if (!hangs)
            r.succeed(first[0]);
        for (std::size_t k = 1; k < first.size(); ++k)
            if (first[k].target != "s-a" || ++n % 2 != 0)
                r.succeed(first[k]);
        r.advance(milliseconds{200});
        for (auto const& it : r.take_sent())
            r.succeed(it);
        r.advance(milliseconds{300});
    }
    CHECK(to_near <= 30);
    CHECK(tried >= 5);
}

TEST_CASE("queue: a target that refused a connection is tried again")
{
    auto r = harness{};
    r.finish_startup();
    r.refused_addresses = {"s1-a:1", "s1-b:1", "s1-c:1"};
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 1.0)), two_shard_targets());
    auto const c = r.submit("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.succeed(s[0], "aaaaaaaaaaaaaaaa");
    r.advance(milliseconds{20});
    CHECK(!r.answer_to(c));
    r.refused_addresses.clear();
    r.advance(milliseconds{120});
    auto const late = r.take_sent();
    REQUIRE(!late.empty());
    r.succeed(late[0], "bbbbbbbbbbbbbbbb");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 0);
}

TEST_CASE("queue: requests do not wait for targets that stay down")
{
    auto r = harness{};
    r.finish_startup();
    r.refused_addresses = {"s1-a:1", "s1-b:1", "s1-c:1"};
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 0.5)), two_shard_targets());
    for (auto i = 0; i < 10; ++i)
    {
        r.submit("warm" + std::to_string(i));
        r.advance(milliseconds{200});
        for (auto const& it : r.take_sent())
            r.succeed(it, "aaaaaaaaaaaaaaaa");
    }
    auto const c = r.submit("q");
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 1);
}

TEST_CASE("queue: a small fleet uses most of a target's connections")
{
    auto r = harness{};
    r.finish_startup();
    auto fleet = std::vector<ks::instance_record>{};
    for (auto i = 1; i < 8; ++i)
        fleet.push_back({"i" + std::to_string(i), "a", "north"});
    auto c = config_of(single_route("s"));
    c.services = {{"s", "/health", 31, milliseconds{0}, 0}};
    r.feed_lists(c, {make_registration("s-a", "s", "a")}, fleet);
    for (auto i = 0; i < 3; ++i)
        r.submit("q" + std::to_string(i));
    // 85% of 31 connections among 8 instances.
    CHECK(r.take_sent().size() == 3);
}

TEST_CASE("connections: only a few of many targets are connected to in advance")
{
    constexpr auto many = 30;
    auto r = harness{};
    r.finish_startup();
    auto targets = std::vector<ks::target_registration>{};
    for (auto i = 0; i < many; ++i)
        targets.push_back(make_registration(
            "s-" + std::to_string(i), "s", i % 3 == 0 ? "a" : "b"));
    r.feed_lists(config_of(single_route("s")), targets);
    r.advance(ks::seconds{5});
    auto const limits = dispatch_limits{};
    CHECK(r.commands_of<open_connection>().size() <=
          limits.preconnect_near + limits.preconnect_far);
    // More connections are opened when requests need them.
    for (auto i = 0; i < many; ++i)
        r.submit("q" + std::to_string(i));
    CHECK(r.take_sent().size() == many);
}
