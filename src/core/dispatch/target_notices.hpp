/// What a target has said of itself in its replies, and what this instance may
/// therefore send to it.
///
/// - Limit: requests per second that it takes from all instances together. The
///   instances divide that: each of them, or a few of a large fleet, sends an
///   equal part. It holds until a reply does not state it.
/// - Pause: it wants nothing from this instance for some time; of several, the
///   one that ends last counts.
/// - Leaving: it wants no new requests any more.
///
/// Notices belong to one start of a target: they end when it registers with
/// another start, and survive if its registration only vanishes for a while. An
/// instance that has restarted learns of them from the next reply. While an
/// instance is suspended its steady clock stands still, so a pause ends later
/// than the target asked for, never sooner.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_TARGET_NOTICES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_TARGET_NOTICES_HPP

#include "core/dispatch/token_bucket.hpp"

#include <knapweedstream/exchange.hpp>

#include <cstddef>
#include <optional>

namespace knapweedstream::dispatch
{

/// Position of this instance among those that may send to a target.
struct sender_rank
{
    std::size_t rank = 0; ///< From 0; differs from target to target.
    std::size_t instances = 1;

    auto operator<=>(sender_rank const&) const = default;
};

/// Notices of one start of a target.
struct target_notices
{
    /// Requests per second that it takes from all instances together.
    std::optional<double> limit_per_s;
    time_point limit_heard_at; ///< When it last stated the limit.
    token_bucket allowance;    ///< Of this instance; used while limited.
    time_point paused_until;
    bool leaving = false;

    auto operator<=>(target_notices const&) const = default;
};

/// Takes over what a reply says.
///
/// @param[in] spread From 0 to 1; the instances return from a pause at
///     different times.
auto with_statement(target_notices const& n, target_statement const& said,
    double spread, time_point now) -> target_notices;

/// True if the target wants no requests now, whatever its limit.
auto is_closed(target_notices const& n, time_point now) -> bool;

/// True if nothing needs to be remembered of a target that has gone.
auto is_empty(target_notices const& n, time_point now) -> bool;

/// Requests per second that this instance may send to a limited target; 0 if
/// it leaves the target to others.
auto share_of_limit(double limit_per_s, sender_rank const& self) -> double;

/// Refills this instance's allowance. An instance with no share, or one that
/// has heard nothing for long, sends a request now and then to learn whether
/// the limit still holds.
auto refilled(target_notices const& n, sender_rank const& self, time_point now)
    -> target_notices;

/// True if a request may be sent now; call `refilled` before.
auto may_send(target_notices const& n) -> bool;

/// Counts a request that was sent.
auto with_sent(target_notices const& n) -> target_notices;

/// Time in which `requests` may be sent at a rate per second, an hour at most;
/// 0 for none.
auto wait_for(double requests, double rate) -> duration;

/// Time until the next request may be sent; 0 if one may be sent now.
auto wait_for_allowance(target_notices const& n, sender_rank const& self)
    -> duration;

} // namespace knapweedstream::dispatch

#endif
