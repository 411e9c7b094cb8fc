/// Health of one target as this instance observes it: speed, failures, time
/// without replies.
///
/// Observed replies take precedence over what a target reports about itself.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_HEALTH_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_HEALTH_HPP

#include "core/dispatch/limits.hpp"

#include <cstdint>
#include <variant>

namespace knapweedstream::dispatch
{

/// The target gets requests without restriction.
struct healthy
{
    auto operator<=>(healthy const&) const = default;
};

/// A request to the target timed out, or several in a row were overdue. The
/// target gets no requests before `until`, and then one request at a time.
struct suspended
{
    time_point until;
    std::uint32_t times = 1; ///< Consecutive suspensions.
    auto operator<=>(suspended const&) const = default;
};

using health_state = std::variant<healthy, suspended>;

/// Health of a target, estimated from its replies.
struct target_health
{
    health_state state;
    double slowness = 1;     ///< Latency relative to the typical one.
    double failure_rate = 0; ///< Share of failed or refused requests.
    time_point observed;     ///< Last update of the two values.
    /// Consecutive requests without a reply within their hedge delay.
    std::uint32_t consecutive_overdue = 0;
    std::uint32_t in_flight = 0;
    time_point silent_since; ///< No reply since then, if `in_flight` > 0.

    auto operator<=>(target_health const&) const = default;
};

/// Counts a request that was sent.
auto with_sent(target_health const& h, time_point now) -> target_health;

/// Counts a request as no longer in flight; its end says nothing about the
/// health of the target.
auto without_request(target_health const& h) -> target_health;

/// Records a reply.
///
/// @param[in] ratio Latency relative to the typical one; 0 if the reply must
///     not count as a latency sample.
/// @param[in] failed The reply was a failure or a refusal.
/// @param[in] overdue The reply came after the hedge delay. Only a reply in
///     time ends a suspension; an overdue one after `until` suspends the target
///     again.
auto with_reply(target_health const& h, double ratio, bool failed, bool overdue,
    dispatch_limits const& limits, time_point now) -> target_health;

/// Records that a request got no reply within its hedge delay; suspends the
/// target after `overdue_until_suspended` such requests in a row.
auto with_overdue(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health;

/// Records as a failure that the connection of a request in flight broke.
auto with_lost(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health;

/// Records that a request ended without a reply, and that the target replied to
/// no other request since it was sent; suspends the target.
auto with_timeout(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health;

/// Present slowness: the observed value decays exponentially to 1.
auto slowness_at(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double;

/// Present failure rate: the observed value decays exponentially to 0.
auto failure_rate_at(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double;

/// True if the health of the target permits sending it a request now.
auto admits_request(target_health const& h, time_point now) -> bool;

/// True if the target is suspended and may now be sent a probe: a copy of a
/// request that is sent to another target.
auto wants_probe(target_health const& h, time_point now) -> bool;

/// Time since the last reply, or since the first request in flight was sent; 0
/// if no request is in flight.
auto silence(target_health const& h, time_point now) -> duration;

} // namespace knapweedstream::dispatch

#endif
