#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <utility>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

TEST_CASE(
    "routed: an instance without a configuration refuses with a retry delay")
{
    auto r = harness{};
    r.finish_startup();
    auto const c = r.submit("q");
    CHECK(refusal_of(r, c).reason == ks::refusal_reason::not_ready);
    CHECK(refusal_of(r, c).retry_after > ks::duration{0});
    CHECK(!r.core.gauges().ready);
}

TEST_CASE("routed: a request goes to the near target, its reply to the caller")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    CHECK(r.core.gauges().ready);
    auto const c = r.submit("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    CHECK(s[0].target == "s-a");
    CHECK(s[0].time_left <= milliseconds{1'000});
    r.succeed(s[0], "body");
    REQUIRE(r.answer_to(c));
    auto const a = std::get<ks::answer_relayed>(r.answer_to(c)->answer).message;
    CHECK(a.body == "body");
    CHECK(a.signature == "sig-s-a");
}

TEST_CASE("routed: unknown hosts, paths and missing ids are refused at once")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    CHECK(refusal_of(r, r.submit("q", "/other/")).reason ==
          ks::refusal_reason::no_route);
    CHECK(
        refusal_of(r, r.submit("")).reason == ks::refusal_reason::bad_request);
}

TEST_CASE("routed: the longest path wins")
{
    auto c = config_of(single_route("s"));
    auto longer = single_route("t");
    longer.path_start = "/p/long/";
    c.routes.push_back(longer);
    auto all = three_targets("s");
    all.push_back(make_registration("t-a", "t", "a"));
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(c, all);
    r.submit("q", "/p/long/x?y");
    CHECK(r.take_sent()[0].target == "t-a");
}

TEST_CASE("routed: a slow target is hedged once, the first reply counts")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const c = r.submit("q");
    auto const first = r.take_sent();
    r.advance(milliseconds{60});
    auto const hedge = r.take_sent();
    REQUIRE(hedge.size() == 1);
    CHECK(hedge[0].target != first[0].target);
    r.advance(milliseconds{100});
    CHECK(r.take_sent().empty());
    r.succeed(hedge[0], "second");
    REQUIRE(r.answer_to(c));
    r.succeed(first[0], "first");
    CHECK(r.answers.size() == 1);
    CHECK(r.core.stats().hedges == 1);
}

TEST_CASE("routed: an at-most-once request is not resent once it may have run")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(with_at_most_once(single_route("s"))), three_targets("s"));
    auto const c = r.submit("q");
    auto const s = r.take_sent();
    r.advance(milliseconds{500});
    CHECK(r.take_sent().empty());
    r.break_connection(s[0]);
    CHECK(r.take_sent().empty());
    REQUIRE(r.answer_to(c));
    CHECK(is<ks::answer_failed>(r.answer_to(c)->answer));
}

TEST_CASE(
    "routed: an at-most-once request is resent if the target did not run it")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(with_at_most_once(single_route("s"))), three_targets("s"));
    auto const c = r.submit("q");
    r.reply(r.take_sent()[0], ks::reply_overloaded{});
    auto const again = r.take_sent();
    REQUIRE(again.size() == 1);
    r.succeed(again[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(c)->answer));
}

TEST_CASE("routed: a target's own failure is relayed unchanged")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(with_at_most_once(single_route("s"))), three_targets("s"));
    auto const c = r.submit("q");
    r.reply(r.take_sent()[0], ks::reply_failure{{500, "sig", {}, "why"}});
    auto const a = std::get<ks::answer_relayed>(r.answer_to(c)->answer);
    CHECK(a.message.status == 500);
    CHECK(a.message.signature == "sig");
    CHECK(a.message.body == "why");
}

TEST_CASE("routed: an idempotent request is retried after a lost connection")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const c = r.submit("q");
    r.break_connection(r.take_sent()[0]);
    auto const again = r.take_sent();
    REQUIRE(again.size() == 1);
    r.succeed(again[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(c)->answer));
}

TEST_CASE("routed: no more targets run a request than the route allows")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const c = r.submit("q");
    r.advance(milliseconds{20}); // Too late for a rejected connection.
    r.break_connection(r.take_sent()[0]);
    auto const second = r.take_sent();
    r.advance(milliseconds{20});
    r.break_connection(second[0]);
    CHECK(r.take_sent().empty());
    CHECK(is<ks::answer_failed>(r.answer_to(c)->answer));
}

TEST_CASE("gather: of all shards' records the greatest are returned")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 0.5)), two_shard_targets());
    auto const c = r.submit("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 2);
    r.succeed(s[0], "aaaaaaaaaaaaaaaaccccccccccccccccx");
    r.succeed(s[1], "bbbbbbbbbbbbbbbbcccccccccccccccc");
    auto const a = merged_of(r, c);
    CHECK(a.missing == 0);
    CHECK(a.signatures.size() == 2);
    CHECK(a.records == "ccccccccccccccccccccccccccccccccbbbbbbbbbbbbbbbb");
}

TEST_CASE("gather: at the objective a partial answer counts the missing parts")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 0.5)), two_shard_targets());
    auto const c = r.submit("q");
    auto const submitted = r.now;
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    r.advance(milliseconds{400});
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 1);
    CHECK(r.answer_to(c)->at - submitted <= milliseconds{200});
    CHECK(r.answer_to(c)->at - submitted >= milliseconds{150});
}

TEST_CASE("gather: below the minimum coverage it waits, then fails")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 1.0)), two_shard_targets());
    auto const c = r.submit("q");
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    r.advance(milliseconds{500});
    CHECK(!r.answer_to(c));
    r.advance(milliseconds{600});
    REQUIRE(r.answer_to(c));
    CHECK(is<ks::answer_failed>(r.answer_to(c)->answer));
}

TEST_CASE("gather: it is refused unsent if too few shards have a target")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 1.0)), three_targets("s0"));
    auto const c = r.submit("q");
    CHECK(refusal_of(r, c).reason == ks::refusal_reason::no_target);
    CHECK(refusal_of(r, c).retry_after > ks::duration{0});
    CHECK(r.take_sent().empty());
}

TEST_CASE("gather: a shard without a target does not delay the answer")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(
        config_of(shard_route({"s0", "s1"}, 0.5)), three_targets("s0"));
    auto const c = r.submit("q");
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 1);
}

TEST_CASE("routed: the attempts of a disconnected caller are abandoned")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const c = r.submit("q");
    auto const s = r.take_sent();
    r.feed(caller_gone{c});
    r.advance(milliseconds{450});
    auto const closed = r.commands_of<close_connection>();
    REQUIRE(closed.size() == 1);
    CHECK(closed[0].connection == s[0].connection);
    CHECK(r.take_sent().empty());
    CHECK(r.answers.empty());
}

TEST_CASE("timers: after an early tick another one is requested")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.submit("q");
    r.take_sent();
    r.now += milliseconds{49};
    r.tick_early();
    r.advance(milliseconds{10});
    CHECK(r.take_sent().size() == 1);
}

TEST_CASE("stop: requests that keep arriving are all answered before the exit")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.feed(stop_requested{});
    auto const stopped = r.now;
    auto submitted = std::size_t{0};
    // The targets hang, so the exit comes shortly before the end of the grace
    // period.
    while (r.commands_of<exit_now>().empty())
    {
        r.submit(
            "q" + std::to_string(submitted++), "/p/x", milliseconds{3'000});
        r.advance(milliseconds{50});
    }
    CHECK(r.now - stopped < dispatch_bounds{}.grace);
    // Only the last one may have no answer.
    CHECK(r.answers.size() + 1 >= submitted);
    // The last requests were refused at once and have not run.
    CHECK(is<ks::answer_refused>(r.answers.back().answer));
}

TEST_CASE("stop: a request at the last moment is answered before the exit")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.feed(stop_requested{});
    CHECK(!r.core.gauges().ready);
    // The exit is due when the request arrives.
    r.now += milliseconds{3'400};
    auto const c = r.submit("q");
    CHECK(r.commands_of<exit_now>().empty());
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.succeed(s[0]);
    CHECK(r.answer_to(c));
    r.advance(milliseconds{1'000});
    CHECK(r.commands_of<exit_now>().size() == 1);
}

TEST_CASE(
    "routed: an at-most-once request prefers a connection that has replied")
{
    auto r = harness{};
    r.finish_startup();
    auto c = config_of(single_route("s"));
    auto once = with_at_most_once(single_route("s"));
    once.path_start = "/once/";
    once.name = "once";
    c.routes.push_back(once);
    r.feed_lists(c, {make_registration("s-a", "s", "a")});
    r.submit("q1");
    auto const first = r.take_sent();
    r.submit("q2"); // Opens a second connection.
    auto const second = r.take_sent();
    REQUIRE(second.size() == 1);
    r.succeed(first[0]);
    r.succeed(second[0]);
    r.submit("q3");
    r.submit("q4");
    r.submit("q5"); // Opens a third one, which returns no reply.
    auto const more = r.take_sent();
    REQUIRE(more.size() == 3);
    auto const without_reply = more[2].connection;
    r.succeed(more[0]);
    r.advance(milliseconds{5});
    r.submit("u", "/once/x");
    auto const u = r.take_sent();
    REQUIRE(u.size() == 1);
    CHECK(u[0].connection != without_reply);
}

TEST_CASE("routed: an at-most-once request replaces a connection idle for long")
{
    auto limits = dispatch_limits{};
    limits.min_connection_share = 1;
    auto r = harness{limits};
    r.finish_startup();
    auto c = config_of(with_at_most_once(single_route("s")));
    c.services = {{"s", "/health", 1, milliseconds{0}, 0}};
    r.feed_lists(c, {make_registration("s-a", "s", "a")});
    r.advance(ks::seconds{20});
    auto const caller = r.submit("u");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.succeed(s[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(caller)->answer));
    CHECK(r.commands_of<close_connection>().size() == 1);
}

TEST_CASE("routed: an address that belongs to another target is not used again")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto to_near = 0;
    auto late = std::vector<sent_request>{};
    for (auto i = 0; i < 20; ++i)
    {
        r.submit("q" + std::to_string(i));
        while (!r.unanswered.empty())
            for (auto const& it : r.take_sent())
            {
                to_near += it.target == "s-a" ? 1 : 0;
                if (it.target == "s-a")
                    r.reply(it, ks::reply_wrong_target{});
                else
                    late.push_back(it);
            }
        r.advance(milliseconds{40});
        for (auto const& it : std::exchange(late, {}))
            r.succeed(it);
        r.advance(milliseconds{500});
    }
    CHECK(to_near == 1);
    // It registers with a new address.
    auto anew = make_registration("s-a", "s", "a");
    anew.address = "elsewhere:1";
    r.feed(store_changed{
        ks::store_kind::targets, {{{"s-a", 900, anew}, false}}, 900});
    r.submit("again");
    CHECK(r.take_sent()[0].target == "s-a");
}
