/// Bookings: non-idempotent requests that run at most once.
#ifndef KNAPWEEDSTREAM_BOOKING_HPP
#define KNAPWEEDSTREAM_BOOKING_HPP

#include <knapweedstream/refusal.hpp>
#include <knapweedstream/topology.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// A booking request as received from a caller.
struct booking_request
{
    std::string customer;
    std::string service;
    std::string key;          ///< Idempotency key from the caller.
    std::string item;         ///< Hashed to select the shard.
    std::string text;         ///< Forwarded to the target unchanged.
    milliseconds deadline{0}; ///< 0 selects the service's default.

    auto operator<=>(booking_request const&) const = default;
};

/// The target ran the booking.
struct booking_done
{
    std::string reference; ///< Booking reference issued by the target.
    auto operator<=>(booking_done const&) const = default;
};

/// The booking was not run; the caller may retry with the same key.
struct booking_not_run
{
    refusal reason;
    auto operator<=>(booking_not_run const&) const = default;
};

/// The outcome is unknown: a target may or may not have run the booking.
struct booking_unknown
{
    auto operator<=>(booking_unknown const&) const = default;
};

/// Outcome of a booking. Anything but certainty that it ran, or that it did
/// not run, is reported as `booking_unknown`.
using booking_answer =
    std::variant<booking_done, booking_not_run, booking_unknown>;

/// Progress of a booking that has claimed its idempotency key.
enum class claim_state : std::uint8_t
{
    claimed, ///< May have been sent; no outcome is recorded.
    done,    ///< Ran; its reference is recorded.
    not_run, ///< Certain not to have run; the key may be claimed again.
};

/// A claim on an idempotency key, stored in the platform.
struct claim
{
    std::string key;
    claim_token token;   ///< Of the holder, which alone may send the booking.
    fingerprint content; ///< Hash of the item and text; detects reuse of a key.
    claim_state state = claim_state::claimed;
    std::string reference;         ///< Set if the state is `done`.
    std::int64_t claimed_at_s = 0; ///< Wall clock, seconds since 1970.

    auto operator<=>(claim const&) const = default;
};

/// Identifies the platform object that stores the claims of one shard.
struct claim_bucket
{
    service_id service;
    shard_id shard;

    auto operator<=>(claim_bucket const&) const = default;
};

} // namespace knapweedstream

template <>
struct std::hash<knapweedstream::claim_bucket>
{
    auto operator()(knapweedstream::claim_bucket const& it) const noexcept
        -> std::size_t
    {
        return std::hash<std::uint64_t>{}(
            it.service.value * 31 + it.shard.value);
    }
};

#endif
