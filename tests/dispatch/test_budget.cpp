#include "dispatch/rig.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

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
