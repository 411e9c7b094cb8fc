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

namespace
{

auto pausing_for(duration length) -> ks::target_statement
{
    auto said = ks::target_statement{};
    said.pause = length;
    return said;
}

auto leaving() -> ks::target_statement
{
    auto said = ks::target_statement{};
    said.leaving = true;
    return said;
}

/// Answers all requests; those to `name` with `r`, stating `said`.
auto answer_all(harness& r, std::string const& name,
    ks::target_reply const& reply, ks::target_statement const& said)
    -> std::size_t
{
    auto n = std::size_t{0};
    for (auto sent = r.take_sent(); !sent.empty(); sent = r.take_sent())
        for (auto const& it : sent)
            if (it.target == name)
            {
                ++n;
                r.reply_saying(it, reply, said);
            }
            else
                r.succeed(it);
    return n;
}

/// Sends requests until one has reached the target, which then replies.
auto make_target_say(harness& r, std::string const& name,
    ks::target_reply const& reply, ks::target_statement const& said) -> void
{
    for (auto i = 0; i < 200; ++i)
    {
        r.submit("first");
        if (answer_all(r, name, reply, said) > 0)
            return;
        r.advance(milliseconds{10});
    }
    FAIL("no request reached the target");
}

/// Requests that reach a target while callers send for a while.
auto count_sent(harness& r, std::string const& name, duration length)
    -> std::size_t
{
    auto n = std::size_t{0};
    for (auto const end = r.now + length; r.now < end;
         r.advance(milliseconds{10}))
    {
        r.submit("later");
        n += answer_all(r, name, success_reply(), {});
    }
    return n;
}

} // namespace

TEST_CASE("leaving: a target that says so gets no new request, whatever its "
          "registration says")
{
    for (auto const& route : {single_route("s"),
             with_at_most_once(single_route("s")), shard_route({"s"}, 1.0)})
    {
        auto f = notices_fixture{route};
        make_target_say(f.r, "s-a", success_reply(), leaving());
        f.r.feed(store_failed{
            ks::store_kind::targets, ks::store_failure::unreachable});
        CHECK(count_sent(f.r, "s-a", seconds{5}) == 0);
        auto const again = make_registration("s-a", "s", "a");
        f.r.feed(store_changed{
            ks::store_kind::targets, {{{"s-a", 900, again}, false}}, 900});
        CHECK(count_sent(f.r, "s-a", seconds{5}) == 0);
        CHECK(f.r.facts<target_condition_changed>().back().condition !=
              target_condition::gone);
    }
}

TEST_CASE("leaving: it is remembered while the registration is away, and "
          "forgotten when the target starts again")
{
    auto f = notices_fixture{};
    CHECK(count_sent(f.r, "s-a", seconds{1}) > 0);
    make_target_say(f.r, "s-a", success_reply(), leaving());
    auto again = make_registration("s-a", "s", "a");
    f.r.feed(store_changed{
        ks::store_kind::targets, {{{"s-a", 900, again}, true}}, 900});
    f.r.feed(store_changed{
        ks::store_kind::targets, {{{"s-a", 901, again}, false}}, 901});
    CHECK(count_sent(f.r, "s-a", seconds{3}) == 0);
    again.started_ms = 5;
    f.r.feed(store_changed{
        ks::store_kind::targets, {{{"s-a", 902, again}, false}}, 902});
    CHECK(count_sent(f.r, "s-a", seconds{3}) > 0);
}

TEST_CASE(
    "leaving: the answers under way are not cut, and the load moves to all "
    "other targets")
{
    auto f = notices_fixture{};
    auto all = std::vector<ks::target_registration>{};
    for (auto i = 0; i < 6; ++i)
        all.push_back(make_registration("t" + std::to_string(i), "s", "a"));
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), all, {{"me", "a", "north"}});
    for (auto i = 0; i < 12; ++i)
        r.submit("q" + std::to_string(i));
    auto const sent = r.take_sent();
    REQUIRE(sent.size() == 12);
    auto const closed_before = r.commands_of<close_connection>().size();
    r.reply_saying(sent[0], success_reply(), leaving());
    for (auto const& it : sent)
        if (it.attempt != sent[0].attempt)
            for (auto const& c : r.commands_of<close_connection>())
                CHECK(c.connection != it.connection);
    CHECK(r.commands_of<close_connection>().size() > closed_before);
    for (std::size_t i = 1; i < sent.size(); ++i)
        r.succeed(sent[i]);
    auto by_target = std::map<std::string, int>{};
    for (auto i = 0; i < 50; ++i)
    {
        for (auto k = 0; k < 15; ++k)
            r.submit("n");
        for (auto const& it : r.take_sent())
        {
            ++by_target[it.target];
            r.succeed(it);
        }
        r.advance(milliseconds{5});
    }
    CHECK(!by_target.contains(sent[0].target));
    CHECK(by_target.size() == 5);
    for (auto const& [name, n] : by_target)
        CHECK(n < 375);
}

TEST_CASE("pause: a target that asks for one gets nothing until its end, then "
          "requests return gradually")
{
    auto f = notices_fixture{};
    make_target_say(
        f.r, "s-a", ks::reply_overloaded{}, pausing_for(seconds{3}));
    auto const asked = f.r.now;
    CHECK(count_sent(f.r, "s-a", milliseconds{2'900}) == 0);
    f.r.advance(seconds{1});
    for (auto i = 0; i < 20; ++i)
        f.r.submit("burst");
    auto const sent = f.r.take_sent();
    CHECK(std::count_if(sent.begin(), sent.end(),
              [](sent_request const& it) { return it.target == "s-a"; }) <= 1);
    CHECK(asked < f.r.now);
}

TEST_CASE("pause: of several, the one that ends last counts")
{
    auto const t = time_point{seconds{100}};
    auto n = with_statement({}, pausing_for(seconds{10}), 0, t);
    n = with_statement(n, pausing_for(seconds{1}), 0, t + seconds{1});
    n = with_statement(n, {}, 0, t + seconds{2});
    CHECK(is_closed(n, t + milliseconds{9'999}));
    CHECK(!is_closed(n, t + seconds{10}));
    auto const late = with_statement({}, pausing_for(seconds{10}), 1, t);
    CHECK(is_closed(late, t + seconds{11}));
    CHECK(!is_closed(late, t + seconds{12}));
}

TEST_CASE(
    "pause: when all targets of a shard pause the caller is refused at once, "
    "with the soonest return")
{
    for (auto const& route : {single_route("s0"), shard_route({"s0"}, 1.0)})
    {
        auto r = harness{};
        r.finish_startup();
        r.feed_lists(config_of(route), three_targets("s0"));
        for (auto const* name : {"s0-a", "s0-b", "s0-c"})
            make_target_say(r, name, ks::reply_overloaded{},
                pausing_for(seconds{name == std::string{"s0-b"} ? 2 : 8}));
        auto const c = r.submit("q");
        CHECK(r.take_sent().empty());
        REQUIRE(r.answer_to(c));
        CHECK(r.answer_to(c)->at == r.now);
        auto const a = refusal_of(r, c);
        CHECK(a.reason == ks::refusal_reason::paused);
        CHECK(a.retry_after > milliseconds{1'000});
        CHECK(a.retry_after < milliseconds{2'600});
    }
}
