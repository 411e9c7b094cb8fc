#include "core/dispatch/target_notices.hpp"
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::duration;
using ks::milliseconds;
using ks::seconds;
using ks::time_point;

namespace
{

constexpr auto window = seconds{4};

/// Requests that a target tolerates in a window.
auto tolerated(double limit) -> double
{
    return 1.5 * 4 * limit + 5;
}

/// Most requests in any window of the given times.
auto most_in_window(std::vector<time_point> const& at) -> std::size_t
{
    auto most = std::size_t{0};
    auto first = std::size_t{0};
    for (std::size_t i = 0; i < at.size(); ++i)
    {
        while (at[i] - at[first] > window)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

auto limited_to(double limit) -> ks::target_statement
{
    auto said = ks::target_statement{};
    said.limit_per_s = limit;
    return said;
}

/// An instance with three targets of a service, one in its own zone.
struct notices_fixture
{
    harness r;

    explicit notices_fixture(ks::route const& route = single_route("s"))
    {
        r.finish_startup();
        r.feed_lists(
            config_of(route), three_targets("s"), {{"me", "a", "north"}});
    }

    /// Sends requests for a while; each target states a limit, if it has one.
    auto send(duration length, milliseconds gap,
        std::map<std::string, double> const& limits) -> void
    {
        for (auto const end = r.now + length; r.now < end;)
        {
            callers.push_back(r.submit("q"));
            r.advance(gap);
            for (auto const& it : r.take_sent())
            {
                sent[it.target].push_back(it.at);
                auto const limit = limits.find(it.target);
                r.reply_saying(it, success_reply(),
                    limit == limits.end() ? ks::target_statement{}
                                          : limited_to(limit->second));
            }
        }
    }

    auto count_refused() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(),
                [&](ks::caller_id c)
                {
                    auto const a = r.answer_to(c);
                    return a && is<ks::answer_refused>(a->answer);
                }));
    }

    std::map<std::string, std::vector<time_point>> sent; ///< By target.
    std::vector<ks::caller_id> callers;
};

} // namespace

TEST_CASE(
    "limit: all instances together keep to the limit that a target states")
{
    for (auto const n : {1u, 6u, 8u, 71u, 80u, 440u})
        for (auto const limit : {0.5, 2.0, 5.0, 30.0, 200.0})
        {
            CAPTURE(n);
            CAPTURE(limit);
            auto all = std::vector<target_notices>(n);
            auto at = std::vector<time_point>{};
            auto now = time_point{seconds{100}};
            for (auto& it : all)
                it = with_statement({}, limited_to(limit), 0, now);
            for (auto ms = 0; ms < 30'000; ms += 5)
            {
                now += milliseconds{5};
                for (std::size_t i = 0; i < n; ++i)
                {
                    all[i] = refilled(all[i], {i, n}, now);
                    while (may_send(all[i]))
                    {
                        at.push_back(now);
                        all[i] = with_sent(all[i]);
                        all[i] =
                            with_statement(all[i], limited_to(limit), 0, now);
                    }
                }
            }
            CHECK(static_cast<double>(most_in_window(at)) <= tolerated(limit));
            CHECK(static_cast<double>(at.size()) >= 0.8 * 30 * limit - 1);
        }
}

TEST_CASE("limit: a limited target gets no more, the others get the rest")
{
    auto f = notices_fixture{};
    f.send(seconds{10}, milliseconds{10}, {{"s-a", 5.0}});
    CHECK(static_cast<double>(most_in_window(f.sent["s-a"])) <= tolerated(5));
    CHECK(f.sent["s-a"].size() >= 30);
    CHECK(f.sent["s-b"].size() + f.sent["s-c"].size() > 900);
    CHECK(f.count_refused() == 0);
}

TEST_CASE("limit: requests wait for the next one that limited targets take, or "
          "are refused at once")
{
    auto f = notices_fixture{};
    auto const limits =
        std::map<std::string, double>{{"s-a", 20}, {"s-b", 20}, {"s-c", 20}};
    f.send(seconds{2}, milliseconds{20}, limits);
    f.sent.clear();
    f.callers.clear();
    f.send(seconds{10}, milliseconds{20}, limits);
    auto total = std::size_t{0};
    for (auto const& [name, at] : f.sent)
    {
        CHECK(static_cast<double>(most_in_window(at)) <= tolerated(20));
        total += at.size();
    }
    CHECK(total > 450);
    CHECK(f.count_refused() < 25);
    f.callers.clear();
    f.send(seconds{5}, milliseconds{2}, limits); // More than they take.
    CHECK(f.count_refused() > 1'000);
    for (auto const& [name, at] : f.sent)
        CHECK(static_cast<double>(most_in_window(at)) <= tolerated(20));
}

TEST_CASE(
    "limit: it ends with the first reply that does not state it, and when "
    "the target starts again")
{
    for (auto const restarted : {false, true})
    {
        auto f = notices_fixture{};
        f.send(seconds{2}, milliseconds{10}, {{"s-a", 2.0}});
        if (restarted)
        {
            auto again = make_registration("s-a", "s", "a");
            again.started_ms = 77;
            f.r.feed(store_changed{
                ks::store_kind::targets, {{{"s-a", 900, again}, false}}, 900});
        }
        f.send(seconds{2}, milliseconds{10}, {});
        f.sent.clear();
        f.send(seconds{2}, milliseconds{10}, {});
        CHECK(f.sent["s-a"].size() > 50);
    }
}

TEST_CASE(
    "limit: a service whose targets all state almost nothing is asked again "
    "now and then")
{
    for (auto const limit : {0.0, 1e-300, 1e-5})
    {
        CAPTURE(limit);
        auto f = notices_fixture{};
        auto const limits = std::map<std::string, double>{
            {"s-a", limit}, {"s-b", limit}, {"s-c", limit}};
        f.send(seconds{5}, milliseconds{20}, limits);
        for (auto const& [name, at] : f.sent)
            CHECK(static_cast<double>(most_in_window(at)) <= tolerated(limit));
        f.send(seconds{15}, milliseconds{20}, {});
        f.callers.clear();
        f.send(seconds{1}, milliseconds{20}, {});
        CHECK(f.count_refused() == 0);
    }
}

TEST_CASE("limit: one that is no longer confirmed is checked now and then")
{
    auto n = with_statement({}, limited_to(0), 0, time_point{seconds{100}});
    auto sent = 0;
    for (auto s = 101; s < 200; ++s)
    {
        n = refilled(n, {3, 30}, time_point{seconds{s}});
        sent += may_send(n) ? 1 : 0;
        if (may_send(n))
            n = with_sent(n);
    }
    CHECK(sent == 3);
}
