/// Claims of a bucket: lookup, creation, recording of outcomes.
#ifndef KNAPWEEDSTREAM_CORE_CLAIMS_HPP
#define KNAPWEEDSTREAM_CORE_CLAIMS_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Result of applying a waiting booking to the claims of its bucket.
enum class commit_step : std::uint8_t
{
    finished, ///< Needs no commit any more.
    waits,    ///< Keeps waiting; the claims did not change.
    writes,   ///< Keeps waiting for a write of its claim.
};

/// Hash of item and text, which tells a resend from another booking with the
/// same key.
auto content_hash(booking_request const& r) -> fingerprint;

/// Finds the claim on a key; null if there is none.
auto find_claim(std::vector<claim>& claims, std::string const& key) -> claim*;

/// Makes a claim for the booking, without an outcome.
auto new_claim(booking_execution const& e) -> claim;

/// Records the outcome in the booking's own claim.
///
/// @returns `finished` if the booking holds no claim or it is recorded already.
auto record_outcome(booking_execution const& e, std::vector<claim>& claims)
    -> commit_step;

} // namespace knapweedstream

#endif
