/// Lists of claims: finding, adding, recording, expiring.
#ifndef KNAPWEEDSTREAM_CORE_CLAIMS_HPP
#define KNAPWEEDSTREAM_CORE_CLAIMS_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// What became of a booking that waits in its bucket.
enum class commit_step : std::uint8_t
{
    finished, ///< Waits for nothing.
    waits,    ///< Stays in the list of waiting bookings.
    writes,   ///< Stays, and has changed the claims.
};

/// Hash of what a booking asks for.
auto content_hash(booking_request const& r) -> fingerprint;

/// Claim on a key; null if there is none.
auto find_claim(std::vector<claim>& claims, std::string const& key) -> claim*;

/// A fresh claim of the booking.
auto new_claim(executed_booking const& e) -> claim;

/// Writes the outcome into the booking's own claim.
auto record_outcome(executed_booking const& e, std::vector<claim>& claims)
    -> commit_step;

} // namespace knapweedstream

#endif
