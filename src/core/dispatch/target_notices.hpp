/// What a target has said of itself in its replies, and what this instance may
/// therefore send to it.
///
/// A target may state how many requests per second it takes from all instances
/// together. The instances divide that: each of them, or a few of a large
/// fleet, sends an equal part. It holds until a reply does not state it.
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

    auto operator<=>(target_notices const&) const = default;
};

/// Takes over what a reply says.
auto with_statement(target_notices const& n, target_statement const& said,
    time_point now) -> target_notices;

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

/// Time until the next request may be sent; 0 if one may be sent now.
auto wait_for_allowance(target_notices const& n, sender_rank const& self)
    -> duration;

} // namespace knapweedstream::dispatch

#endif
