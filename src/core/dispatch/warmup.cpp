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

auto with_refill(token_bucket const& a, dispatch_bounds const& bounds,
    double rate, std::size_t rank, time_point now) -> token_bucket
{
    auto const senders = warming_instances(bounds, rate);
    if (rank >= senders)
        return {0, now};
    return with_refill(a, rate / static_cast<double>(senders), 1.0, now);
}

} // namespace knapweedstream::dispatch
