#include "core/dispatch/warmup.hpp"
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

TEST_CASE(
    "warmup: all instances together stay within the limit of a cold target")
{
    auto const holds = rc::check("cold sums",
        []
        {
            auto const bounds = dispatch_bounds{};
            auto const rate = static_cast<double>(*rc::gen::inRange(1, 60));
            auto const n = *rc::gen::inRange(std::size_t{6}, std::size_t{441});
            auto all = std::vector<token_bucket>(n);
            auto sent = std::vector<std::size_t>{}; // By step of 10 ms.
            auto now = ks::time_point{ks::seconds{100}};
            for (auto i = 0; i < 400; ++i)
            {
                now += milliseconds{10};
                sent.push_back(0);
                if (*rc::gen::inRange(0, 30) == 0) // A process restarts.
                    all[*rc::gen::inRange(std::size_t{0}, n)] = {};
                for (std::size_t k = 0; k < n; ++k)
                {
                    all[k] = with_refill(all[k], bounds, rate, k, now);
                    while (may_send(all[k]))
                    {
                        all[k] = with_sent(all[k]);
                        ++sent.back();
                    }
                }
            }
            auto const allowed =
                rate * bounds.warmup_factor + bounds.warmup_slack;
            auto total = std::size_t{0};
            for (std::size_t i = 0; i < sent.size(); ++i)
            {
                total += sent[i];
                if (i >= 100)
                    total -= sent[i - 100];
                RC_ASSERT(static_cast<double>(total) <= allowed);
            }
        });
    CHECK(holds);
}

TEST_CASE("warmup: a cold target gets few requests until it is warm")
{
    auto targets = three_targets("s");
    for (auto& it : targets)
        it.zone = "a";
    targets[0].warmup_left = milliseconds{3'000};
    auto c = config_of(single_route("s"));
    c.services.push_back({"s", "/health", 30, milliseconds{3'000}, 4.0});
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(c, targets);
    auto to_cold = 0;
    auto const send_traffic = [&](int n)
    {
        to_cold = 0;
        for (auto i = 0; i < n; ++i)
        {
            r.submit("q");
            r.advance(milliseconds{24});
            for (auto const& it : r.take_sent())
            {
                to_cold += it.target == "s-a" ? 1 : 0;
                r.succeed(it);
            }
            r.advance(milliseconds{1});
        }
    };
    send_traffic(40); // One second.
    CHECK(to_cold <= 4 * 1.5 + 5);
    CHECK(to_cold >= 1);
    send_traffic(40);
    CHECK(to_cold <= 4 * 1.5 + 5);
    r.advance(milliseconds{1'100}); // It is warm.
    send_traffic(40);
    CHECK(to_cold > 4 * 1.5 + 5);
}

TEST_CASE(
    "warmup: if all targets are cold, requests beyond their limits are refused")
{
    auto targets = three_targets("s");
    for (auto& it : targets)
        it.warmup_left = milliseconds{3'000};
    auto c = config_of(single_route("s"));
    c.services.push_back({"s", "/health", 30, milliseconds{3'000}, 2.0});
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(c, targets);
    auto sent = std::size_t{0};
    for (auto i = 0; i < 100; ++i)
    {
        r.submit("q");
        for (auto const& it : r.take_sent())
        {
            ++sent;
            r.succeed(it);
        }
        r.advance(milliseconds{10});
    }
    CHECK(sent <= 3 * (2 * 1.5 + 5));
    CHECK(r.answers.size() == 100); // None is kept waiting.
}
