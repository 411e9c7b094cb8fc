#include "core/dispatch/version_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedstream::dispatch
{

namespace
{

/// Share of bad outcomes allowed beyond that of the old version.
constexpr auto allowed_share = 0.05;
/// Standard deviations by which bad outcomes must exceed the allowed number.
constexpr auto significance = 2.5;
/// Fewest bad outcomes that show a fault.
constexpr auto min_bad = 3u;
/// Requests assumed good beside those to the old version, so that few of them
/// do not decide its share of bad outcomes.
constexpr auto assumed_good = 5.0;
/// Requests to the new version after which it may be called good.
constexpr auto min_proof = 8u;
/// The same, as a share of all requests.
constexpr auto min_proof_share = 0.25;

auto bad_of(outcome_counts const& c) -> std::uint32_t
{
    return c.failed + c.slow;
}

auto sum_of(outcome_counts const& a, outcome_counts const& b) -> outcome_counts
{
    return {a.requests + b.requests, a.failed + b.failed, a.slow + b.slow};
}

auto counted(version_outcome outcome) -> outcome_counts
{
    return {1, outcome == version_outcome::failed ? 1u : 0u,
        outcome == version_outcome::slow ? 1u : 0u};
}

auto entry_of(std::vector<route_outcomes>& routes, std::string const& route)
    -> route_outcomes&
{
    auto const it = std::find_if(routes.begin(), routes.end(),
        [&](route_outcomes const& r) { return r.route == route; });
    if (it != routes.end())
        return *it;
    return routes.emplace_back(route_outcomes{route, {}, {}});
}

/// True if the new version has significantly more bad outcomes than the old
/// one's share of them and the allowance explain.
auto is_worse(route_outcomes const& r) -> bool
{
    auto const bad = bad_of(r.after);
    if (bad < min_bad)
        return false;
    auto const old_share =
        bad_of(r.before) / (r.before.requests + assumed_good);
    auto const share = std::min(1.0, old_share + allowed_share);
    auto const n = static_cast<double>(r.after.requests);
    auto const spread = std::sqrt(n * share * (1 - share));
    return bad > n * share + significance * spread;
}

auto fault_of_counts(outcome_counts const& after) -> rollout_fault
{
    return after.failed >= after.slow ? rollout_fault::failures
                                      : rollout_fault::latency;
}

} // namespace

auto with_outcome(std::vector<route_outcomes> routes, std::string const& route,
    bool is_new, version_outcome outcome) -> std::vector<route_outcomes>
{
    auto& r = entry_of(routes, route);
    auto& side = is_new ? r.after : r.before;
    side = sum_of(side, counted(outcome));
    return routes;
}

auto with_sum(std::vector<route_outcomes> sum,
    std::span<route_outcomes const> more) -> std::vector<route_outcomes>
{
    for (auto const& it : more)
    {
        auto& r = entry_of(sum, it.route);
        r.before = sum_of(r.before, it.before);
        r.after = sum_of(r.after, it.after);
    }
    return sum;
}

auto total_of(std::span<route_outcomes const> routes) -> route_outcomes
{
    auto all = route_outcomes{};
    for (auto const& it : routes)
    {
        all.before = sum_of(all.before, it.before);
        all.after = sum_of(all.after, it.after);
    }
    return all;
}

auto fault_of(std::span<route_outcomes const> routes) -> rollout_fault
{
    auto const all = total_of(routes);
    if (is_worse(all))
        return fault_of_counts(all.after);
    auto const it = std::find_if(routes.begin(), routes.end(), is_worse);
    return it == routes.end() ? rollout_fault::none
                              : fault_of_counts(it->after);
}

auto is_proven(std::span<route_outcomes const> routes) -> bool
{
    auto const all = total_of(routes);
    auto const n = all.before.requests + all.after.requests;
    return all.after.requests >=
           std::min<double>(min_proof, min_proof_share * n);
}

} // namespace knapweedstream::dispatch
