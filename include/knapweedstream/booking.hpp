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

/// A booking as a caller sends it.
struct booking_request
{
    std::string customer;
    std::string service;
    std::string key;          ///< Idempotency key, made by the caller.
    std::string item;         ///< Decides the shard.
    std::string text;         ///< Passed on to the target.
    milliseconds deadline{0}; ///< 0 takes the service's default.

    auto operator<=>(booking_request const&) const = default;
};

/// The target ran the booking.
struct booking_done
{
    std::string reference; ///< As given by the target.
    auto operator<=>(booking_done const&) const = default;
};

/// The booking was not run; the same key may be sent again.
struct booking_not_run
{
    refusal reason;
    auto operator<=>(booking_not_run const&) const = default;
};

/// It is not known whether the target ran the booking.
struct booking_unknown
{
    auto operator<=>(booking_unknown const&) const = default;
};

/// The three truthful answers to a booking.
using booking_answer =
    std::variant<booking_done, booking_not_run, booking_unknown>;

/// How far a claimed booking has come.
enum class claim_state : std::uint8_t
{
    claimed, ///< May have been sent; no outcome recorded.
    done,    ///< Ran; reference recorded.
    not_run, ///< Proved not run; the key may be claimed again.
};

/// A claim on an idempotency key, kept in the platform.
struct claim
{
    std::string key;
    claim_token token;   ///< Of the holder that may dispatch.
    fingerprint content; ///< Hash of the request.
    claim_state state = claim_state::claimed;
    std::string reference;         ///< If done.
    std::int64_t claimed_at_s = 0; ///< Wall clock, seconds since 1970.

    auto operator<=>(claim const&) const = default;
};

/// Names the platform object that holds the claims of one shard.
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
