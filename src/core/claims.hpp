/// Claims: lookup, creation, recording of outcomes.
///
/// A claim reserves an idempotency key for one booking and holds the outcome of
/// that booking. The claims of a shard form a bucket, which is stored as one
/// platform object.
#ifndef KNAPWEEDSTREAM_CORE_CLAIMS_HPP
#define KNAPWEEDSTREAM_CORE_CLAIMS_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Result of applying a waiting booking to the claims of its bucket.
enum class commit_step : std::uint8_t
{
    finished, ///< Needs no commit any more.
    waits,    ///< Keeps waiting; not part of the next write.
    writes,   ///< Its claim or outcome is part of the next write.
};

/// Hash of item and text, which tells a resend from another booking with the
/// same key.
auto content_hash(booking_request const& r) -> fingerprint;

/// Finds the claim on an idempotency key; null if there is none.
auto find_claim(std::vector<claim>& claims, std::string const& key) -> claim*;

/// Makes a claim for the booking, without an outcome.
auto new_claim(booking_execution const& e) -> claim;

/// Records the outcome in the booking's own claim.
///
/// @returns `finished` if the booking holds no claim, or if its outcome is
///     recorded already; else `writes`.
auto record_outcome(booking_execution const& e, std::vector<claim>& claims)
    -> commit_step;

/// Adds the claims that the platform has lost to those that it has. Of two
/// claims on a key, the one by which the booking ran prevails, then the one by
/// which it may have run.
auto with_lost_claims(std::vector<claim> stored, std::vector<claim> const& lost)
    -> std::vector<claim>;

} // namespace knapweedstream

#endif
