#include "dispatch/rig.hpp"

#include <doctest/doctest.h>

#include <set>
#include <utility>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

template <class T>
auto is(ks::caller_answer const& a) -> bool
{
    return std::holds_alternative<T>(a);
}

auto refusal_of(rig const& r, ks::caller_id c) -> ks::answer_refused
{
    return std::get<ks::answer_refused>(r.answer_to(c)->answer);
}

auto merged_of(rig const& r, ks::caller_id c) -> ks::answer_merged
{
    return std::get<ks::answer_merged>(r.answer_to(c)->answer);
}

auto three_of(std::string const& service)
    -> std::vector<ks::target_registration>
{
    return {registered(service + "-a", service, "a"),
        registered(service + "-b", service, "b"),
        registered(service + "-c", service, "c")};
}

auto two_shards() -> std::vector<ks::target_registration>
{
    auto all = three_of("s0");
    for (auto const& it : three_of("s1"))
        all.push_back(it);
    return all;
}

auto at_most_once(ks::route r) -> ks::route
{
    r.repeat = ks::repeatability::at_most_once;
    return r;
}

} // namespace

TEST_CASE("routed: an instance without a configuration refuses with a time")
{
    auto r = rig{};
    r.age();
    auto const c = r.ask("q");
    CHECK(refusal_of(r, c).reason == ks::refusal_reason::not_ready);
    CHECK(refusal_of(r, c).retry_after > ks::duration{0});
    CHECK(!r.core.gauges().ready);
}

TEST_CASE("routed: a request goes to the near target and back")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    CHECK(r.core.gauges().ready);
    auto const c = r.ask("q");
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
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    CHECK(refusal_of(r, r.ask("q", "/other/")).reason ==
          ks::refusal_reason::no_route);
    CHECK(refusal_of(r, r.ask("")).reason == ks::refusal_reason::bad_request);
}

TEST_CASE("routed: the longest path wins")
{
    auto c = config_of(single_route("s"));
    auto longer = single_route("t");
    longer.path_start = "/p/long/";
    c.routes.push_back(longer);
    auto all = three_of("s");
    all.push_back(registered("t-a", "t", "a"));
    auto r = rig{};
    r.age();
    r.begin(c, all);
    r.ask("q", "/p/long/x?y");
    CHECK(r.take_sent()[0].target == "t-a");
}

TEST_CASE("routed: a slow target is hedged once, the first answer counts")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const c = r.ask("q");
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

TEST_CASE("routed: at most once is never sent again once it may have run")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(at_most_once(single_route("s"))), three_of("s"));
    auto const c = r.ask("q");
    auto const s = r.take_sent();
    r.advance(milliseconds{500});
    CHECK(r.take_sent().empty());
    r.lose(s[0]);
    CHECK(r.take_sent().empty());
    REQUIRE(r.answer_to(c));
    CHECK(is<ks::answer_failed>(r.answer_to(c)->answer));
}

TEST_CASE("routed: at most once goes on after an answer that says not run")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(at_most_once(single_route("s"))), three_of("s"));
    auto const c = r.ask("q");
    r.reply(r.take_sent()[0], ks::reply_overloaded{});
    auto const again = r.take_sent();
    REQUIRE(again.size() == 1);
    r.succeed(again[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(c)->answer));
}

TEST_CASE("routed: a target's own failure is passed on unchanged")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(at_most_once(single_route("s"))), three_of("s"));
    auto const c = r.ask("q");
    r.reply(r.take_sent()[0], ks::reply_failure{{500, "sig", {}, "why"}});
    auto const a = std::get<ks::answer_relayed>(r.answer_to(c)->answer);
    CHECK(a.message.status == 500);
    CHECK(a.message.signature == "sig");
    CHECK(a.message.body == "why");
}

TEST_CASE("routed: an idempotent request is retried after a lost connection")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const c = r.ask("q");
    r.lose(r.take_sent()[0]);
    auto const again = r.take_sent();
    REQUIRE(again.size() == 1);
    r.succeed(again[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(c)->answer));
}

TEST_CASE("routed: no more targets run a request than the route allows")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const c = r.ask("q");
    r.advance(milliseconds{20}); // Longer than a refusal of the connection.
    r.lose(r.take_sent()[0]);
    auto const second = r.take_sent();
    r.advance(milliseconds{20});
    r.lose(second[0]);
    CHECK(r.take_sent().empty());
    CHECK(is<ks::answer_failed>(r.answer_to(c)->answer));
}

TEST_CASE("gather: all shards in, the greatest records win")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(shard_route({"s0", "s1"}, 0.5)), two_shards());
    auto const c = r.ask("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 2);
    r.succeed(s[0], "aaaaaaaaaaaaaaaaccccccccccccccccx");
    r.succeed(s[1], "bbbbbbbbbbbbbbbbcccccccccccccccc");
    auto const a = merged_of(r, c);
    CHECK(a.missing == 0);
    CHECK(a.signatures.size() == 2);
    CHECK(a.records == "ccccccccccccccccccccccccccccccccbbbbbbbbbbbbbbbb");
}

TEST_CASE("gather: at the objective what is in is answered, the rest is told")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(shard_route({"s0", "s1"}, 0.5)), two_shards());
    auto const c = r.ask("q");
    auto const asked = r.now;
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    r.advance(milliseconds{400});
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 1);
    CHECK(r.answer_to(c)->at - asked <= milliseconds{200});
    CHECK(r.answer_to(c)->at - asked >= milliseconds{150});
}

TEST_CASE("gather: below the least coverage it waits, then says it failed")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(shard_route({"s0", "s1"}, 1.0)), two_shards());
    auto const c = r.ask("q");
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    r.advance(milliseconds{500});
    CHECK(!r.answer_to(c));
    r.advance(milliseconds{600});
    REQUIRE(r.answer_to(c));
    CHECK(is<ks::answer_failed>(r.answer_to(c)->answer));
}

TEST_CASE("gather: too few shards with a target are refused before any send")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(shard_route({"s0", "s1"}, 1.0)), three_of("s0"));
    auto const c = r.ask("q");
    CHECK(refusal_of(r, c).reason == ks::refusal_reason::no_target);
    CHECK(refusal_of(r, c).retry_after > ks::duration{0});
    CHECK(r.take_sent().empty());
}

TEST_CASE("gather: a shard without a target does not hold the others up")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(shard_route({"s0", "s1"}, 0.5)), three_of("s0"));
    auto const c = r.ask("q");
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 1);
}

TEST_CASE("routed: a caller that hangs up has its attempts given up")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const c = r.ask("q");
    auto const s = r.take_sent();
    r.feed(caller_gone{c});
    r.advance(milliseconds{450});
    auto const closed = r.ordered<close_connection>();
    REQUIRE(closed.size() == 1);
    CHECK(closed[0].connection == s[0].connection);
    CHECK(r.take_sent().empty());
    CHECK(r.answers.empty());
}

TEST_CASE("timers: a tick that comes early is asked for again")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    r.ask("q");
    r.take_sent();
    r.now += milliseconds{49};
    r.tick_early();
    r.advance(milliseconds{10});
    CHECK(r.take_sent().size() == 1);
}

TEST_CASE("stop: a request of the last moment is answered before the exit")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    r.feed(stop_requested{});
    CHECK(!r.core.gauges().ready);
    // The exit is due in the same turn in which the request comes in.
    r.now += milliseconds{3'400};
    auto const c = r.ask("q");
    CHECK(r.ordered<exit_now>().empty());
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.succeed(s[0]);
    CHECK(r.answer_to(c));
    r.advance(milliseconds{1'000});
    CHECK(r.ordered<exit_now>().size() == 1);
}

TEST_CASE("budget: extra requests stay within the stated share")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const burst = 0.9 * dispatch_bounds{}.retry_budget_extra;
    auto const n = 400;
    for (auto i = 0; i < n; ++i)
    {
        r.ask("q" + std::to_string(i));
        while (!r.unanswered.empty())
            for (auto const& it : r.take_sent())
                r.reply(it, ks::reply_overloaded{});
        r.advance(milliseconds{20});
    }
    auto const extra = r.core.stats().hedges + r.core.stats().retries;
    CHECK(static_cast<double>(extra) <= burst + 0.2 * n + 1);
    CHECK(extra > n / 10);
}

TEST_CASE("queue: a part that waits for a connection does not end a gather")
{
    auto r = rig{};
    r.age();
    auto targets = two_shards();
    r.begin(config_of(shard_route({"s0", "s1"}, 1.0)), three_of("s0"));
    r.hold_opens = true;
    auto const c0 = r.ask("early");
    CHECK(r.answer_to(c0)); // No target of the second shard is known yet.
    r.hold_opens = true;
    r.feed(store_changed{ks::store_kind::targets,
        {{{"s1-a", 900, registered("s1-a", "s1", "a")}, false}}, 900});
    auto const c = r.ask("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.advance(milliseconds{120});
    CHECK(!r.answer_to(c));
    r.succeed(s[0], "aaaaaaaaaaaaaaaa");
    CHECK(!r.answer_to(c));
    r.open_held();
    auto const late = r.take_sent();
    REQUIRE(late.size() == 1);
    r.succeed(late[0], "bbbbbbbbbbbbbbbb");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 0);
}

TEST_CASE("queue: a request that nothing was sent for is refused soon")
{
    auto r = rig{};
    r.age();
    r.hold_opens = true;
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const c = r.ask("q");
    auto const asked = r.now;
    r.advance(milliseconds{500});
    REQUIRE(r.answer_to(c));
    CHECK(refusal_of(r, c).reason == ks::refusal_reason::overloaded);
    CHECK(r.answer_to(c)->at - asked <= milliseconds{50});
}

TEST_CASE("queue: nothing waits for a target that it may not connect to")
{
    // Two instances share targets of two connections, one of which is used:
    // each may connect to one of them only, unless that one is out of reach.
    auto limits = dispatch_limits{};
    limits.connection_share = 0.5;
    auto r = rig{limits};
    r.age();
    auto c = config_of(single_route("s"));
    c.services = {{"s", "/health", 2, milliseconds{0}, 0}};
    r.begin(c, {registered("s-a", "s", "a"), registered("s-b", "s", "b")},
        {{"me", "a", "north"}, {"you", "b", "south"}});
    auto const first = r.ask("q1");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    CHECK(s[0].target == "s-a");
    // The one connection is busy: the next request waits for it.
    auto const second = r.ask("q2");
    r.succeed(s[0]);
    auto const next = r.take_sent();
    REQUIRE(next.size() == 1);
    CHECK(next[0].target == "s-a");
    r.succeed(next[0]);
    CHECK(r.answer_to(first));
    CHECK(r.answer_to(second));
    // The near target is gone for good: the far one is all that is left.
    r.refused_addresses = {"s-a:1"};
    auto const third = r.ask("q3");
    r.lose(r.take_sent()[0]);
    auto const far = r.take_sent();
    REQUIRE(far.size() == 1);
    CHECK(far[0].target == "s-b");
    r.succeed(far[0]);
    CHECK(r.answer_to(third));
}
TEST_CASE("health: a target that hangs now and then is passed over")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto to_near = 0;
    auto tried = 0;
    auto n = 0;
    for (auto i = 0; i < 80; ++i)
    {
        r.ask("q" + std::to_string(i));
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

TEST_CASE("store: while it is away one kind alone asks for it")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    for (auto const k : {ks::store_kind::targets, ks::store_kind::evacuations,
             ks::store_kind::configuration, ks::store_kind::rollouts})
        r.feed(store_failed{k, ks::store_failure::busy});
    auto answered = r.ordered<store_watch>().size();
    auto const before = answered;
    for (auto i = 0; i < 100; ++i)
    {
        r.advance(milliseconds{100});
        auto const all = r.ordered<store_watch>();
        for (; answered < all.size(); ++answered)
            r.feed(store_failed{all[answered].kind, ks::store_failure::busy});
    }
    CHECK(answered - before <= 30); // 10 s, at most three a second.
    CHECK(answered - before >= 10);
    // Once it is back, all kinds are followed again at once.
    while (r.ordered<store_watch>().size() == answered)
        r.advance(milliseconds{10});
    auto const prober = r.ordered<store_watch>().back().kind;
    r.feed(store_changed{prober, {}, 2'000});
    r.advance(milliseconds{5});
    auto kinds = std::set<ks::store_kind>{};
    auto const all = r.ordered<store_watch>();
    for (auto i = answered; i < all.size(); ++i)
        kinds.insert(all[i].kind);
    CHECK(kinds.size() == 4);
}

TEST_CASE("store: an instance records itself until it is listed")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    REQUIRE(r.ordered<store_record>().size() == 1);
    CHECK(!r.ordered<store_record>()[0].exists);
    // The record of an earlier start is there, the list was stale.
    r.feed(store_written{
        ks::store_kind::instances, "me", 0, ks::store_failure::conflict});
    REQUIRE(r.ordered<store_record>().size() == 2);
    CHECK(r.ordered<store_record>()[1].exists);
    r.advance(milliseconds{1'600});
    r.feed(store_listed{ks::store_kind::instances,
        {{"me", 1, ks::instance_record{"me", "a", "north"}}}, "", 5});
    CHECK(r.ordered<store_record>().size() == 2);
    // Somebody removed it.
    r.advance(milliseconds{3'100});
    r.feed(store_listed{ks::store_kind::instances, {}, "", 6});
    CHECK(r.ordered<store_record>().size() == 3);
}

TEST_CASE("queue: a target that turned a connection away is tried again")
{
    auto r = rig{};
    r.age();
    r.refused_addresses = {"s1-a:1", "s1-b:1", "s1-c:1"};
    r.begin(config_of(shard_route({"s0", "s1"}, 1.0)), two_shards());
    auto const c = r.ask("q");
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

TEST_CASE("queue: targets that are down for long are not waited for")
{
    auto r = rig{};
    r.age();
    r.refused_addresses = {"s1-a:1", "s1-b:1", "s1-c:1"};
    r.begin(config_of(shard_route({"s0", "s1"}, 0.5)), two_shards());
    for (auto i = 0; i < 10; ++i)
    {
        r.ask("warm" + std::to_string(i));
        r.advance(milliseconds{200});
        for (auto const& it : r.take_sent())
            r.succeed(it, "aaaaaaaaaaaaaaaa");
    }
    auto const c = r.ask("q");
    r.succeed(r.take_sent()[0], "aaaaaaaaaaaaaaaa");
    REQUIRE(r.answer_to(c));
    CHECK(merged_of(r, c).missing == 1);
}

TEST_CASE("budget: a connection that is turned away costs nothing")
{
    auto limits = dispatch_limits{};
    limits.reopen_first = milliseconds{5};
    auto r = rig{limits};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto const c = r.ask("q");
    // Each target breaks new connections at their first request, twice.
    auto const next_sent = [&]
    {
        for (auto i = 0; i < 12 && r.unanswered.empty(); ++i)
            r.advance(milliseconds{1});
        auto const all = r.take_sent();
        REQUIRE(all.size() == 1);
        return all[0];
    };
    for (auto i = 0; i < 6; ++i)
        r.lose(next_sent());
    CHECK(!r.answer_to(c));
    CHECK(r.core.stats().retries == 0);
    r.succeed(next_sent());
    CHECK(r.answer_to(c));
}

TEST_CASE("routed: at most once prefers a connection that has proved itself")
{
    auto r = rig{};
    r.age();
    auto c = config_of(single_route("s"));
    auto once = at_most_once(single_route("s"));
    once.path_start = "/once/";
    once.name = "once";
    c.routes.push_back(once);
    r.begin(c, {registered("s-a", "s", "a")});
    r.ask("q1");
    auto const first = r.take_sent();
    r.ask("q2"); // Opens a second connection.
    auto const second = r.take_sent();
    REQUIRE(second.size() == 1);
    r.succeed(first[0]);
    r.succeed(second[0]);
    r.ask("q3");
    r.ask("q4");
    r.ask("q5"); // Opens a third one, which stays unproved.
    auto const more = r.take_sent();
    REQUIRE(more.size() == 3);
    auto const unproved = more[2].connection;
    r.succeed(more[0]);
    r.advance(milliseconds{5});
    r.ask("u", "/once/x");
    auto const u = r.take_sent();
    REQUIRE(u.size() == 1);
    CHECK(u[0].connection != unproved);
}

TEST_CASE("budget: an instance that has just started saves up slowly")
{
    // Its fleet is not known yet: it may be one of many.
    auto r = rig{};
    r.begin(config_of(single_route("s")), three_of("s"));
    for (auto i = 0; i < 100; ++i)
    {
        r.ask("q" + std::to_string(i));
        while (!r.unanswered.empty())
            for (auto const& it : r.take_sent())
                r.reply(it, ks::reply_overloaded{});
        r.advance(milliseconds{10});
    }
    auto const extra = r.core.stats().hedges + r.core.stats().retries;
    CHECK(extra <= 0.2 * 100 + 0.1 * dispatch_bounds{}.retry_budget_extra);
}

TEST_CASE(
    "budget: a retry that waited for a connection is paid when it is sent")
{
    auto fleet = std::vector<ks::instance_record>{};
    for (auto i = 0; i < 20; ++i)
        fleet.push_back({"i" + std::to_string(i), "a", "north"});
    auto c = config_of(single_route("s"));
    c.services = {{"s", "/health", 1'000, milliseconds{0}, 0}};
    auto r = rig{};
    r.age();
    r.begin(c, three_of("s"), fleet);
    auto const at_once = 6;
    for (auto k = 0; k < at_once; ++k)
        r.ask("q" + std::to_string(k));
    auto const first = r.take_sent();
    REQUIRE(first.size() == at_once);
    r.hold_opens = true;
    for (auto const& it : first)
        r.reply(it, ks::reply_overloaded{}); // Retries wait for connections.
    r.open_held();
    auto const share = dispatch_bounds{}.retry_budget_extra / 20.0;
    CHECK(static_cast<double>(r.core.stats().retries) <= 0.2 * at_once + share);
}

TEST_CASE("routed: at most once replaces a connection that was idle for long")
{
    auto limits = dispatch_limits{};
    limits.connection_share = 1;
    auto r = rig{limits};
    r.age();
    auto c = config_of(at_most_once(single_route("s")));
    c.services = {{"s", "/health", 1, milliseconds{0}, 0}};
    r.begin(c, {registered("s-a", "s", "a")});
    r.advance(ks::seconds{20});
    auto const caller = r.ask("u");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    r.succeed(s[0]);
    CHECK(is<ks::answer_relayed>(r.answer_to(caller)->answer));
    CHECK(r.ordered<close_connection>().size() == 1);
}

TEST_CASE("budget: a break as late as an answer may be is paid for")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    for (auto i = 0; i < 40; ++i)
    {
        r.ask("warm" + std::to_string(i));
        r.advance(milliseconds{3});
        for (auto const& it : r.take_sent())
            r.reply(it, success(), false); // The next one is a new connection.
        r.advance(milliseconds{50});
    }
    auto const before = r.core.stats().retries;
    r.ask("q");
    r.advance(milliseconds{4});
    r.lose(r.take_sent()[0]);
    CHECK(r.core.stats().retries == before + 1);
}

TEST_CASE("routed: an address that another target has is not used again")
{
    auto r = rig{};
    r.age();
    r.begin(config_of(single_route("s")), three_of("s"));
    auto to_near = 0;
    auto late = std::vector<sent>{};
    for (auto i = 0; i < 20; ++i)
    {
        r.ask("q" + std::to_string(i));
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
    // It registers anew.
    auto anew = registered("s-a", "s", "a");
    anew.address = "elsewhere:1";
    r.feed(store_changed{
        ks::store_kind::targets, {{{"s-a", 900, anew}, false}}, 900});
    r.ask("again");
    CHECK(r.take_sent()[0].target == "s-a");
}
