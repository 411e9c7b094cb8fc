#include "core/dispatch/warmup.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

auto warming_instances(dispatch_bounds const& bounds, double rate)
    -> std::size_t
{
    /// The rest covers instances that disagree about their ranks.
    constexpr auto used_fraction = 0.5;
    auto const beyond = bounds.warmup_slack + (bounds.warmup_factor - 1) * rate;
    return static_cast<std::size_t>(std::max(1.0, used_fraction * beyond));
}

auto with_refill(warmup_allowance const& a, dispatch_bounds const& bounds,
    double rate, std::size_t rank, time_point now) -> warmup_allowance
{
    auto const senders = warming_instances(bounds, rate);
    if (rank >= senders)
        return {0, now};
    if (a.at == time_point{})
        return {0, now}; // The previous process may have just sent one.
    auto const elapsed = std::chrono::duration<double>(now - a.at).count();
    auto const each = rate / static_cast<double>(senders);
    return {std::min(1.0, a.requests + each * std::max(0.0, elapsed)), now};
}

auto with_sent(warmup_allowance const& a) -> warmup_allowance
{
    return {a.requests - 1, a.at};
}

auto may_send(warmup_allowance const& a) -> bool
{
    return a.requests >= 1;
}

} // namespace knapweedstream::dispatch
