/// Which connections a request uses that is sent again.
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <set>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

// Guards against TWICE: the copy was taken for the reply to the repeat.
TEST_CASE("routed: a late copy of a rejection cannot answer a repeat: an "
          "at-most-once request uses each connection once")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(with_at_most_once(single_route("s"))),
        {make_registration("s-a", "s", "a")});
    // Leave the target with several idle connections.
    r.submit("a");
    r.submit("b");
    for (auto const& it : r.take_sent())
        r.succeed(it);
    r.submit("u");
    auto used = std::set<ks::connection_id>{};
    auto sends = std::size_t{0};
    for (auto i = 0; i < 20; ++i)
    {
        for (auto const& it : r.take_sent())
        {
            ++sends;
            used.insert(it.connection);
            r.reply(it, ks::reply_overloaded{});
        }
        r.advance(milliseconds{20});
    }
    CHECK(sends >= 3);
    CHECK(used.size() == sends);
}

TEST_CASE(
    "routed: a repeated at-most-once request replaces a connection it has "
    "used if it may have no other")
{
    auto limits = dispatch_limits{};
    limits.min_connection_share = 1;
    auto r = harness{limits};
    r.finish_startup();
    auto c = config_of(with_at_most_once(single_route("s")));
    c.services = {{"s", "/health", 1, milliseconds{0}, 0}};
    r.feed_lists(c, {make_registration("s-a", "s", "a")});
    auto const caller = r.submit("u");
    auto const first = r.take_sent();
    REQUIRE(first.size() == 1);
    r.reply(first[0], ks::reply_overloaded{});
    r.advance(milliseconds{25});
    auto const again = r.take_sent();
    REQUIRE(again.size() == 1);
    CHECK(again[0].connection != first[0].connection);
    r.succeed(again[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(caller)->answer));
}

TEST_CASE("routed: a repeated idempotent request prefers a connection that it "
          "has not used, and opens none for that")
{
    auto r = harness{};
    r.finish_startup();
    auto route = single_route("s");
    route.max_attempts = 3;
    r.feed_lists(config_of(route), {make_registration("s-a", "s", "a")});
    r.submit("a");
    r.submit("b");
    for (auto const& it : r.take_sent())
        r.succeed(it);
    auto const opened = r.commands_of<open_connection>().size();
    r.submit("q");
    auto used = std::vector<ks::connection_id>{};
    for (auto i = 0; i < 3; ++i)
    {
        for (auto const& it : r.take_sent())
        {
            used.push_back(it.connection);
            r.reply(it, ks::reply_overloaded{});
        }
        r.advance(milliseconds{20});
    }
    REQUIRE(used.size() == 3);
    CHECK(used[0] != used[1]);
    CHECK(r.commands_of<open_connection>().size() == opened);
}
