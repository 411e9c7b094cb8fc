/// Decision functions of the core on single values: budgets, quantiles,
/// targets, selectors, members.
#include "core/budget.hpp"
#include "core/member.hpp"
#include "core/quantile.hpp"
#include "core/selector.hpp"
#include "core/target.hpp"

#include <doctest/doctest.h>

using namespace knapweedstream;

namespace
{

auto const t0 = time_point{seconds{100}};
auto const share = target_share{4, true};

auto fresh_target() -> target
{
    auto t = target{};
    t.limits.warmup = milliseconds{1'000};
    t.limits.cold_concurrency = 1;
    return t;
}

} // namespace

TEST_CASE(
    "a retry budget allows retries for its share of primary requests only")
{
    auto b = retry_budget{0, 0.05, 10};
    auto granted = 0;
    for (auto i = 0; i < 1'000; ++i)
    {
        b = deposit(b);
        if (auto const left = withdraw(b))
        {
            b = *left;
            ++granted;
        }
    }
    CHECK(granted <= 50);
    CHECK(granted >= 49);
}

TEST_CASE("a quantile estimate converges to the quantile and follows drift")
{
    auto e = quantile_estimate{};
    auto r = random_state{7, 0};
    for (auto i = 0; i < 5'000; ++i)
        e = observe(e, 1'000 + static_cast<double>(draw_below(r, 1'000)));
    CHECK(e.value_us > 1'800);
    CHECK(e.value_us < 2'100);
    for (auto i = 0; i < 5'000; ++i)
        e = observe(e, 10'000 + static_cast<double>(draw_below(r, 1'000)));
    CHECK(e.value_us > 10'500);
}

TEST_CASE("a target warms up over its warm-up time, by its primary owner only")
{
    auto t = fresh_target();
    CHECK(concurrency_limit(t, share, t0) == 1);
    CHECK(concurrency_limit(t, {4, false}, t0) == 0);
    t = with_success(t, 1'000, t0);
    CHECK(concurrency_limit(t, share, t0) == 1);
    CHECK(concurrency_limit(t, share, t0 + milliseconds{500}) == 2);
    CHECK(concurrency_limit(t, {4, false}, t0 + milliseconds{999}) == 0);
    t = with_success(t, 1'000, t0 + seconds{2});
    CHECK(concurrency_limit(t, share, t0 + seconds{2}) == 4);
    CHECK(concurrency_limit(t, {4, false}, t0 + seconds{2}) == 4);
}

TEST_CASE(
    "a new boot id makes a warm target cold, a warmth notice makes it warm")
{
    auto t = with_report(fresh_target(), {{1}, {5}, false});
    t = with_warmth(t, {1}, true);
    CHECK(std::holds_alternative<warm>(t.warmth_state));
    CHECK(with_report(t, {{1}, {5}, false}) == t);
    auto const restarted = with_report(t, {{2}, {5}, false});
    CHECK(std::holds_alternative<cold>(restarted.warmth_state));
    // A notice for the old boot does not warm the new one.
    CHECK(std::holds_alternative<cold>(
        with_warmth(restarted, {1}, true).warmth_state));
    // A notice that precedes the target's first report applies to that boot.
    auto const early = with_warmth(fresh_target(), {3}, true);
    CHECK(std::holds_alternative<warm>(
        with_report(early, {{3}, {5}, false}).warmth_state));
}

TEST_CASE("shed requests lower the limit, three in a row make the target cold")
{
    auto t = fresh_target();
    t.warmth_state = warm{};
    t.in_flight = 4;
    t = with_shed(t, t0);
    CHECK(concurrency_limit(t, {10, true}, t0) == 2);
    t = with_shed(with_shed(t, t0), t0);
    CHECK(std::holds_alternative<cold>(t.warmth_state));
}

TEST_CASE("failures eject a target, longer each time, unless it is the last")
{
    auto const limits = node_limits{};
    auto const fail = [&](target t, bool may, time_point now)
    {
        for (auto i = 0u; i < limits.ejection_failures; ++i)
            t = with_failure(t, limits, may, now);
        return t;
    };
    auto t = fail(fresh_target(), true, t0);
    CHECK(is_unavailable(t, t0));
    auto const first = t.ejected_until - t0;
    CHECK_FALSE(is_unavailable(t, t.ejected_until));
    t = fail(t, true, t.ejected_until);
    CHECK(t.ejected_until - (t0 + first) == 2 * first);
    CHECK_FALSE(is_unavailable(fail(fresh_target(), false, t0), t0));
}

TEST_CASE("two choices prefer the less loaded target, credit the one with most "
          "free slots")
{
    auto const from =
        std::vector<candidate>{{{1}, 3, 4, 1'000}, {{2}, 0, 4, 1'000}};
    for (std::uint64_t seed = 1; seed < 20; ++seed)
    {
        CHECK(select(pick_two_choices{}, from, {seed, 0}).index == 1);
        CHECK(select(pick_credit{}, from, {seed, 0}).index == 1);
    }
    auto chosen = selection{0, pick_round_robin{}, {}};
    chosen = select(chosen.next, from, {});
    CHECK(chosen.index == 0);
    chosen = select(chosen.next, from, {});
    CHECK(chosen.index == 1);
}

TEST_CASE("a member is silent only when a probe stays unanswered")
{
    auto m = with_heard(member{}, t0);
    CHECK_FALSE(is_silent(m, seconds{1}, t0 + seconds{60}));
    m = with_probe(m, t0 + seconds{60});
    CHECK_FALSE(is_silent(m, seconds{1}, t0 + seconds{61}));
    CHECK(is_silent(m, seconds{1}, t0 + seconds{62}));
    CHECK_FALSE(is_silent(
        with_heard(m, t0 + seconds{62}), seconds{1}, t0 + seconds{63}));
}
