/// One target as this instance has observed it: speed, failures, silence.
///
/// Observed replies rank above what a target says of itself.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_HEALTH_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_HEALTH_HPP

#include "core/dispatch/limits.hpp"

#include <cstdint>
#include <variant>

namespace knapweedstream::dispatch
{

/// May be used like any other.
struct healthy
{
    auto operator<=>(healthy const&) const = default;
};

/// Was silent, or late several times in a row; not used before `until`, then
/// tried with one request at a time.
struct suspended
{
    time_point until;
    std::uint32_t times = 1; ///< In a row.
    auto operator<=>(suspended const&) const = default;
};

using health_state = std::variant<healthy, suspended>;

/// What the replies of a target have shown.
struct target_health
{
    health_state state;
    double slowness = 1;     ///< Its latency to what is typical.
    double failure_rate = 0; ///< Share of requests that it failed or refused.
    time_point observed;     ///< When the two were last updated.
    std::uint32_t late = 0;  ///< Requests overdue or lost in a row.
    std::uint32_t in_flight = 0;
    time_point silent_since; ///< No reply since, while something is in flight.

    auto operator<=>(target_health const&) const = default;
};

/// A request was sent.
auto with_sent(target_health const& h, time_point now) -> target_health;

/// A request in flight ended without any sign of the target.
auto with_dropped(target_health const& h) -> target_health;

/// The target replied.
///
/// @param[in] ratio Latency to what is typical; 0 if it says nothing of speed.
/// @param[in] failed The reply was a failure or a refusal.
/// @param[in] overdue It came late; only one in time ends a suspension.
auto with_reply(target_health const& h, double ratio, bool failed, bool overdue,
    dispatch_limits const& limits, time_point now) -> target_health;

/// A request takes much longer than it should.
auto with_overdue(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health;

/// The connection of a request in flight broke.
auto with_lost(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health;

/// A request was given up after long silence.
auto with_timeout(target_health const& h, dispatch_limits const& limits,
    time_point now) -> target_health;

/// Slowness at present: what was observed fades towards 1.
auto slowness_at(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double;

/// Failure rate at present: what was observed fades towards 0.
auto failure_rate_at(target_health const& h, dispatch_limits const& limits,
    time_point now) -> double;

/// True if the target may be sent a request now, as far as trust goes.
auto admits_request(target_health const& h, time_point now) -> bool;

/// True if a suspended target may be tried with a request that another target
/// gets too.
auto wants_probe(target_health const& h, time_point now) -> bool;

/// For how long it has been silent with requests in flight.
auto silence(target_health const& h, time_point now) -> duration;

} // namespace knapweedstream::dispatch

#endif
