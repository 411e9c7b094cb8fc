#include "core/selector.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream
{

namespace
{

/// Estimated time to serve a new request: load with it, times latency.
auto cost(candidate const& it) -> double
{
    return (it.in_flight + 1.0) * (it.latency_us + 1.0);
}

auto credits(candidate const& it) -> std::uint32_t
{
    return it.limit > it.in_flight ? it.limit - it.in_flight : 0;
}

auto best_of_two(std::span<candidate const> from, random_state r) -> selection
{
    auto const n = from.size();
    auto const a = draw_below(r, n);
    if (n == 1)
        return {a, pick_two_choices{}, r};
    auto const b = (a + 1 + draw_below(r, n - 1)) % n;
    auto const best = cost(from[b]) < cost(from[a]) ? b : a;
    return {best, pick_two_choices{}, r};
}

auto most_credits(std::span<candidate const> from, random_state r) -> selection
{
    auto const n = from.size();
    auto best = draw_below(r, n);
    for (std::size_t i = 0; i < n; ++i)
        if (credits(from[i]) > credits(from[best]))
            best = i;
    return {best, pick_credit{}, r};
}

} // namespace

auto select(selector const& s, std::span<candidate const> from,
    random_state const& r) -> selection
{
    return std::visit(
        overloaded{[&](pick_random const& it) -> selection
            {
                auto next = r;
                auto const i = draw_below(next, from.size());
                return {i, it, next};
            },
            [&](pick_round_robin const& it) -> selection {
                return {
                    it.next % from.size(), pick_round_robin{it.next + 1}, r};
            },
            [&](pick_two_choices const&) { return best_of_two(from, r); },
            [&](pick_credit const&)
            {
                return most_credits(from, r);
            }},
        s);
}

} // namespace knapweedstream
