#include "core/dispatch/extra_budget.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

using counts = std::vector<std::uint32_t>; ///< By step of the simulation.

constexpr auto steps_of_window = std::size_t{40};

auto sum(counts const& all, std::size_t from, std::size_t to) -> double
{
    auto n = 0.0;
    for (auto i = from; i < std::min(to, all.size()); ++i)
        n += all[i];
    return n;
}

/// Maximum number of extra requests of all instances in the window that starts
/// at a step.
auto allowed(dispatch_bounds const& bounds, counts const& first,
    std::size_t from) -> double
{
    auto const half = steps_of_window / 2;
    auto const before = from < steps_of_window ? 0 : from - steps_of_window;
    auto const middle = from < half ? 0 : from - half;
    auto const most = std::max({sum(first, from, from + steps_of_window),
        sum(first, before, from), sum(first, middle, middle + 2 * half)});
    return bounds.retry_budget_ratio * most + bounds.retry_budget_extra;
}

/// An equal share of the budget that has been confirmed long ago.
auto confirmed_share(std::size_t instances, ks::time_point now) -> budget_claim
{
    auto c = budget_claim{};
    c.claimed = ks::whole_budget / static_cast<std::uint32_t>(instances);
    c.used = c.claimed;
    c.next = c.claimed;
    c.renewed_at = now;
    return c;
}

/// Retry budget of one instance for one service.
struct simulated_instance
{
    extra_budget budget;
    ks::time_point started;
    bool greedy = false; ///< Sends all extra requests that it may.
    double place = 0;
};

auto terms(dispatch_bounds const& bounds, simulated_instance const& it,
    std::size_t instances, ks::time_point now) -> budget_terms
{
    auto c = confirmed_share(instances, now);
    c.used = 0;
    c.next_from = it.started + ks::duration{bounds.budget_window};
    return terms_of(bounds, c, false, it.place, now);
}

/// Sends extra requests while they are allowed. All arrive at once.
auto spend(extra_budget b, dispatch_bounds const& bounds, budget_terms const& t,
    ks::time_point now, std::uint32_t& sent) -> extra_budget
{
    while (allows_extra(t, extra_left(b, bounds, t, now), urgency::needed))
    {
        b = with_settled(with_extra(b), bounds, now);
        ++sent;
    }
    return b;
}

} // namespace

TEST_CASE("budget: all instances together stay within it in every window")
{
    auto const holds = rc::check("budget sums",
        []
        {
            auto bounds = dispatch_bounds{};
            bounds.retry_budget_extra = *rc::gen::inRange(50u, 700u);
            auto const n = *rc::gen::inRange(std::size_t{6}, std::size_t{300});
            auto fleet = std::vector<simulated_instance>(n);
            for (auto& it : fleet)
            {
                it.place = *rc::gen::inRange(0, 1'000) / 1'000.0;
                it.greedy = *rc::gen::inRange(0, 4) != 0;
            }
            auto first = counts{};
            auto extra = counts{};
            auto now = ks::time_point{ks::seconds{100}};
            auto rate = 1;
            for (auto i = 0u; i < 5 * steps_of_window; ++i)
            {
                now += ks::duration{bounds.budget_window} / steps_of_window;
                first.push_back(0);
                extra.push_back(0);
                if (i % 10 == 0)
                    rate = *rc::gen::inRange(0, 4);
                if (*rc::gen::inRange(0, 20) == 0)
                { // A process is killed and restarts.
                    auto& it = fleet[*rc::gen::inRange(std::size_t{0}, n)];
                    it.budget = {};
                    it.started = now;
                }
                for (auto& it : fleet)
                {
                    auto const own = *rc::gen::inRange(0, rate + 1);
                    for (auto k = 0; k < own; ++k, ++first.back())
                        it.budget = with_first(it.budget, bounds, now);
                    if (it.greedy)
                        it.budget = spend(it.budget, bounds,
                            terms(bounds, it, n, now), now, extra.back());
                }
            }
            for (auto i = std::size_t{0}; i < extra.size(); ++i)
                RC_ASSERT(sum(extra, i, i + steps_of_window) <=
                          allowed(bounds, first, i));
        });
    CHECK(holds);
}

TEST_CASE("budget: spent requests are available again after a window")
{
    auto const bounds = dispatch_bounds{};
    auto b = extra_budget{};
    auto now = ks::time_point{ks::seconds{100}};
    auto const spend_all = [&]
    {
        auto n = 0u;
        b = spend(b, bounds, {0.2, 3, 0}, now, n);
        return n;
    };
    CHECK(spend_all() == 3);
    now += ks::seconds{9};
    CHECK(spend_all() == 0);
    now += ks::seconds{2};
    CHECK(spend_all() == 3);
}

TEST_CASE("budget: a reload that changes the window forgets no charge")
{
    auto const now = ks::time_point{ks::seconds{100}};
    auto const t = budget_terms{0.2, 3, 0};
    auto bounds = dispatch_bounds{};
    auto sent = 0u;
    auto b = spend({}, bounds, t, now, sent);
    REQUIRE(sent == 3);
    for (auto const window : {milliseconds{1'000}, milliseconds{60'000}})
    {
        bounds.budget_window = window;
        b = with_window_changed(b, bounds, now);
        CHECK(extra_left(b, bounds, t, now) == 0);
        CHECK(extra_left(b, bounds, t, now + window * 9 / 10) == 0);
        CHECK(extra_left(b, bounds, t, now + window * 6 / 5) == 3);
    }
}

TEST_CASE("budget: a request that its target has not read stays charged")
{
    auto const bounds = dispatch_bounds{};
    auto const t = budget_terms{0.2, 3, 0};
    auto now = ks::time_point{ks::seconds{100}};
    auto b = with_extra(with_extra(with_extra({})));
    now += ks::seconds{60};
    CHECK(extra_left(b, bounds, t, now) == 0);
    b = with_settled(b, bounds, now);
    now += ks::seconds{9};
    CHECK(extra_left(b, bounds, t, now) == 0);
    now += ks::seconds{2};
    CHECK(extra_left(b, bounds, t, now) == 1);
}

TEST_CASE("budget: probes leave a reserve to hedges, and hedges to retries")
{
    auto const b = budget_terms{0.2, 8, 0};
    CHECK(allows_extra(b, 1, urgency::needed));
    CHECK(!allows_extra(b, 1, urgency::useful));
    CHECK(allows_extra(b, 2, urgency::useful));
    CHECK(!allows_extra(b, 2, urgency::optional));
}

TEST_CASE("budget: instances of a large fleet use fractions of a request")
{
    auto bounds = dispatch_bounds{};
    bounds.retry_budget_extra = 600;
    auto const n = std::size_t{300};
    auto const now = ks::time_point{ks::seconds{100}};
    auto sent = std::uint32_t{0};
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        auto const it = simulated_instance{
            {}, {}, true, (static_cast<double>(i) + 0.5) / n};
        spend({}, bounds, terms(bounds, it, n, now), now, sent);
    }
    CHECK(sent <= 600);
    CHECK(sent >= 530);
    bounds.retry_budget_extra = 50;
    CHECK(
        terms_of(bounds, confirmed_share(n, now), false, 1, now).rounding == 0);
}

TEST_CASE("budget: a process that has just started may probe suspended targets")
{
    auto const bounds = dispatch_bounds{};
    auto const now = ks::time_point{ks::seconds{100}};
    auto b = extra_budget{};
    for (auto i = 0; i < 20; ++i)
        b = with_first(b, bounds, now);
    // The claim of the process before has been confirmed, its window lasts.
    auto claim = confirmed_share(2, now);
    claim.used = 0;
    claim.next_from = now + ks::seconds{5};
    auto const t = terms_of(bounds, claim, false, 0, now);
    CHECK(allows_extra(t, extra_left(b, bounds, t, now), urgency::optional));
    auto const full = terms_of(bounds, confirmed_share(2, now), false, 0, now);
    CHECK(
        !allows_extra(full, extra_left(b, bounds, t, now), urgency::optional));
}

TEST_CASE("budget: little of an inherited claim while a target has read late")
{
    auto const bounds = dispatch_bounds{};
    auto const now = ks::time_point{ks::seconds{100}};
    auto claim = confirmed_share(1, now);
    claim.listed = true;
    auto const extra = static_cast<double>(bounds.retry_budget_extra);
    auto const share = [&](bool late, ks::time_point at)
    {
        return terms_of(bounds, claim, late, 0, at).share;
    };
    CHECK(share(true, now) > 0.8 * extra);
    claim.inherited_until = now + ks::seconds{60};
    CHECK(share(false, now) > 0.8 * extra);
    CHECK(share(true, now) < 0.1 * extra);
    claim.renewed_at = now + ks::seconds{60};
    CHECK(share(true, now + ks::seconds{60}) > 0.8 * extra);
}
