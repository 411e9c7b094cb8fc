/// Token bucket that limits how many requests are sent per second.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_TOKEN_BUCKET_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_TOKEN_BUCKET_HPP

#include <knapweedstream/time.hpp>

#include <algorithm>
#include <compare>

namespace knapweedstream::dispatch
{

/// A token is a request that may be sent now.
struct token_bucket
{
    double tokens = 0;
    time_point at; ///< Time of the last refill, if there was one.

    auto operator<=>(token_bucket const&) const = default;
};

/// Refills the bucket for the time since the last refill. The first refill adds
/// nothing, as the previous process may have just sent a request.
///
/// @param[in] rate Requests per second.
/// @param[in] depth Maximum number of tokens.
inline auto with_refill(token_bucket const& b, double rate, double depth,
    time_point now) -> token_bucket
{
    if (b.at == time_point{})
        return {0, now};
    auto const elapsed = std::chrono::duration<double>(now - b.at).count();
    return {std::min(depth, b.tokens + rate * std::max(0.0, elapsed)), now};
}

/// Takes one token out of the bucket.
inline auto with_sent(token_bucket const& b) -> token_bucket
{
    return {b.tokens - 1, b.at};
}

/// True if the bucket holds a token.
inline auto may_send(token_bucket const& b) -> bool
{
    return b.tokens >= 1;
}

} // namespace knapweedstream::dispatch

#endif
