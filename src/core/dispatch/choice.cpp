#include "core/dispatch/choice.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto retry_cost = milliseconds{250}; ///< Cost of a failed request.
/// Expected remaining time of a stall.
constexpr auto stall_cost = milliseconds{250};
constexpr auto jitter_bits = 4u; ///< Random bits for each candidate.
constexpr auto jitter_draws = 64u / jitter_bits;
constexpr auto jitter_steps = 1u << jitter_bits; ///< Resolution of the jitter.
/// Most jitter, as a share of the expected time.
constexpr auto jitter_share = 0.15;

/// Factor on the latency for queueing at the target: requests beyond its slots
/// wait for earlier ones.
auto queue_factor(candidate const& c) -> double
{
    auto const slots = std::max(1u, c.slots);
    return c.in_flight < slots ? 1.0
                               : 1.0 + (1.0 + c.in_flight - slots) / slots;
}

} // namespace

auto expected_time(candidate const& c) -> duration
{
    auto t = scaled(c.typical_latency, c.slowness * queue_factor(c));
    t += scaled(retry_cost, c.failure_rate);
    t += c.penalty;
    if (c.silence > c.stall_after)
        t += stall_cost;
    if (!c.idle)
        t += c.may_open ? c.connect_time : c.typical_latency;
    return t;
}

auto choose(std::span<candidate const> from, random_state& r)
    -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>{};
    auto least = duration::max();
    auto const d = draw(r);
    r = d.next;
    for (std::size_t i = 0; i < from.size(); ++i)
    {
        auto const bits = d.value >> (i % jitter_draws * jitter_bits);
        auto const chance = static_cast<double>(bits % jitter_steps) /
                            static_cast<double>(jitter_steps);
        auto const t =
            scaled(expected_time(from[i]), 1.0 + jitter_share * chance);
        if (t < least)
        {
            least = t;
            best = i;
        }
    }
    return best;
}

} // namespace knapweedstream::dispatch
