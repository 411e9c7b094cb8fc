/// Targets that say that they leave, or ask for a pause.
#include "core/dispatch/target_notices.hpp"
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::duration;
using ks::milliseconds;
using ks::seconds;
using ks::time_point;

namespace
{

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
};

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
