#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

TEST_CASE("budget: extra requests stay within the stated share")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const burst = 0.9 * dispatch_bounds{}.retry_budget_extra;
    auto const n = 400;
    for (auto i = 0; i < n; ++i)
    {
        r.submit("q" + std::to_string(i));
        while (!r.unanswered.empty())
            for (auto const& it : r.take_sent())
                r.reply(it, ks::reply_overloaded{});
        r.advance(milliseconds{20});
    }
    auto const extra = r.core.stats().hedges + r.core.stats().retries;
    CHECK(static_cast<double>(extra) <= burst + 0.2 * n + 1);
    CHECK(extra > n / 10);
}

TEST_CASE("budget: a request is charged and counted as run however soon its "
          "connection is reset")
{
    auto limits = dispatch_limits{};
    limits.reopen_first = milliseconds{5};
    auto r = harness{limits};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.submit("q");
    auto arrivals = 0u;
    for (auto i = 0; i < 200; ++i)
    {
        for (auto const& it : r.take_sent())
        {
            ++arrivals;
            r.break_connection(it);
        }
        r.advance(milliseconds{1});
    }
    CHECK(arrivals == single_route("s").max_attempts);
    CHECK(r.core.stats().retries == arrivals - 1);
}

TEST_CASE("budget: a repeat of a request that was not written is free")
{
    auto limits = dispatch_limits{};
    limits.reopen_first = milliseconds{5};
    auto r = harness{limits};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const c = r.submit("q");
    auto const next_sent = [&]
    {
        for (auto i = 0; i < 12 && r.unanswered.empty(); ++i)
            r.advance(milliseconds{1});
        auto const all = r.take_sent();
        REQUIRE(all.size() == 1);
        return all[0];
    };
    for (auto i = 0; i < 6; ++i)
        r.feed(ks::dispatch::connection_closed{
            next_sent().connection, connection_end::reset, true});
    CHECK(!r.answer_to(c));
    CHECK(r.core.stats().retries == 0);
    r.succeed(next_sent());
    CHECK(r.answer_to(c));
}

TEST_CASE("budget: an instance that has just started gets its share gradually")
{
    // The instances are not listed yet: there may be many.
    auto r = harness{};
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    for (auto i = 0; i < 100; ++i)
    {
        r.submit("q" + std::to_string(i));
        while (!r.unanswered.empty())
            for (auto const& it : r.take_sent())
                r.reply(it, ks::reply_overloaded{});
        r.advance(milliseconds{10});
    }
    auto const extra = r.core.stats().hedges + r.core.stats().retries;
    CHECK(extra <= 0.2 * 100 + 0.1 * dispatch_bounds{}.retry_budget_extra);
}

TEST_CASE(
    "budget: a retry that waits for a connection is charged when it is sent")
{
    auto fleet = std::vector<ks::instance_record>{};
    for (auto i = 0; i < 20; ++i)
        fleet.push_back({"i" + std::to_string(i), "a", "north"});
    auto c = config_of(single_route("s"));
    c.services = {{"s", "/health", 1'000, milliseconds{0}, 0}};
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(c, three_targets("s"), fleet);
    auto const at_once = 6;
    for (auto k = 0; k < at_once; ++k)
        r.submit("q" + std::to_string(k));
    auto const first = r.take_sent();
    REQUIRE(first.size() == at_once);
    r.hold_opens = true;
    for (auto const& it : first)
        r.reply(it, ks::reply_overloaded{}); // Retries wait for connections.
    r.complete_held_opens();
    auto const share = dispatch_bounds{}.retry_budget_extra / 20.0;
    CHECK(static_cast<double>(r.core.stats().retries) <= 0.2 * at_once + share);
}

TEST_CASE("budget: a retry after a break as late as a reply is charged")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    for (auto i = 0; i < 40; ++i)
    {
        r.submit("warm" + std::to_string(i));
        r.advance(milliseconds{3});
        for (auto const& it : r.take_sent())
            r.reply(it, success_reply(), false); // Not reusable.
        r.advance(milliseconds{50});
    }
    auto const before = r.core.stats().retries;
    r.submit("q");
    r.advance(milliseconds{4});
    r.break_connection(r.take_sent()[0]);
    CHECK(r.core.stats().retries == before + 1);
}

TEST_CASE("budget: a part without budget waits and is sent again")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"),
        {{"i1", "a", "north"}, {"i2", "a", "north"}, {"i3", "a", "north"}});
    // Use up the budget.
    auto n = 0;
    while (r.facts<budget_exhausted>().empty())
    {
        r.submit("q" + std::to_string(n++));
        while (!r.unanswered.empty())
            for (auto const& it : r.take_sent())
                r.reply(it, ks::reply_overloaded{});
        r.advance(milliseconds{1});
    }
    auto const c = r.submit("last");
    r.reply(r.take_sent().back(), ks::reply_overloaded{});
    r.advance(milliseconds{100});
    CHECK(!r.answer_to(c)); // Not given up before its deadline.
    // First requests of other callers refill the budget.
    for (auto i = 0; i < 60; ++i)
    {
        r.submit("later" + std::to_string(i));
        for (auto const& it : r.take_sent())
            r.succeed(it);
        r.advance(milliseconds{10});
    }
    REQUIRE(r.answer_to(c));
    CHECK(is<ks::answer_relayed>(r.answer_to(c)->answer));
}

TEST_CASE("budget: a changed bound divides the budget anew")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto bounds = dispatch_bounds{};
    bounds.retry_budget_extra = 0;
    r.core.reconfigure({}, bounds, r.now);
    r.submit("q");
    r.reply(r.take_sent().at(0), ks::reply_overloaded{});
    r.advance(milliseconds{500});
    CHECK(r.core.stats().retries == 0);
    bounds.retry_budget_extra = 50;
    r.core.reconfigure({}, bounds, r.now);
    r.advance(milliseconds{100});
    CHECK(r.core.stats().retries > 0);
}
