#include "core/dispatch/target_notices.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// A target tolerates `tolerated_factor` times its limit plus
/// `tolerated_requests` in a span of `limit_window_s`. The instances use the
/// stated limit; what lies beyond it covers bursts and requests on the way.
constexpr auto limit_window_s = 4.0;
constexpr auto tolerated_factor = 1.5;
constexpr auto tolerated_requests = 5.0;
/// Used part of what lies beyond the limit.
constexpr auto used_burst = 0.5;
/// Most time by which an instance returns later than a pause ends: a share of
/// the pause plus a fixed time.
constexpr auto pause_spread = 0.1;
constexpr auto return_spread = milliseconds{250};
constexpr auto max_depth = 4.0; ///< Largest burst of an instance.
/// Time between requests of all instances that have no share, or have heard
/// nothing since.
constexpr auto recheck_spacing = seconds{1};
constexpr auto min_recheck = seconds{10};

/// Requests that all instances together may have in their buckets.
auto total_burst(double limit) -> double
{
    auto const beyond = (tolerated_factor - 1) * limit_window_s * limit;
    return used_burst * (beyond + tolerated_requests);
}

/// Instances that share a limit: at most as many as may hold a token each.
auto senders(double limit, std::size_t instances) -> std::size_t
{
    auto const most =
        static_cast<std::size_t>(std::max(1.0, total_burst(limit)));
    return std::clamp<std::size_t>(instances, 1, most);
}

auto recheck_interval(std::size_t instances) -> duration
{
    return std::max<duration>(
        min_recheck, static_cast<int>(instances) * duration{recheck_spacing});
}

} // namespace

auto with_statement(target_notices const& n, target_statement const& said,
    double spread, time_point now) -> target_notices
{
    auto next = n;
    next.limit_per_s = said.limit_per_s;
    next.limit_heard_at = now;
    if (!said.limit_per_s)
        next.allowance = {};
    next.leaving = n.leaving || said.leaving;
    if (said.pause)
        next.paused_until = std::max(n.paused_until,
            now + scaled(*said.pause, 1 + pause_spread * spread) +
                scaled(return_spread, spread));
    return next;
}

auto is_closed(target_notices const& n, time_point now) -> bool
{
    return n.leaving || now < n.paused_until;
}

auto is_empty(target_notices const& n, time_point now) -> bool
{
    return !is_closed(n, now) && !n.limit_per_s;
}

auto share_of_limit(double limit_per_s, sender_rank const& self) -> double
{
    auto const n = senders(limit_per_s, self.instances);
    return self.rank < n ? limit_per_s / static_cast<double>(n) : 0.0;
}

auto refilled(target_notices const& n, sender_rank const& self, time_point now)
    -> target_notices
{
    if (!n.limit_per_s)
        return n;
    auto next = n;
    auto const limit = *n.limit_per_s;
    auto const each = total_burst(limit) /
                      static_cast<double>(senders(limit, self.instances));
    next.allowance = with_refill(n.allowance, share_of_limit(limit, self),
        std::clamp(each, 1.0, max_depth), now);
    if (now - n.limit_heard_at >= recheck_interval(self.instances))
    {
        next.limit_heard_at = now;
        next.allowance.tokens = std::max(1.0, next.allowance.tokens);
    }
    return next;
}

auto may_send(target_notices const& n) -> bool
{
    return !n.limit_per_s || may_send(n.allowance);
}

auto with_sent(target_notices const& n) -> target_notices
{
    auto next = n;
    if (n.limit_per_s)
        next.allowance = with_sent(n.allowance);
    return next;
}

auto wait_for(double requests, double rate) -> duration
{
    constexpr auto longest = std::chrono::duration<double>(3'600);
    if (requests <= 0)
        return duration{0};
    auto const wait = std::chrono::duration<double>(requests / rate);
    return std::chrono::ceil<duration>(
        rate > 0 ? std::min(wait, longest) : longest);
}

auto wait_for_allowance(target_notices const& n, sender_rank const& self)
    -> duration
{
    if (may_send(n))
        return duration{0};
    return wait_for(
        1 - n.allowance.tokens, share_of_limit(*n.limit_per_s, self));
}

} // namespace knapweedstream::dispatch
