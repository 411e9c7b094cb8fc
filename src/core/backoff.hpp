/// Exponential backoff between retries.
#ifndef KNAPWEEDSTREAM_CORE_BACKOFF_HPP
#define KNAPWEEDSTREAM_CORE_BACKOFF_HPP

#include <knapweedstream/time.hpp>

#include <algorithm>
#include <cstdint>

namespace knapweedstream
{

constexpr auto max_doublings = 10u; ///< Avoids overflow.

/// Returns `first` doubled `doublings` times, at most `max_delay`.
inline auto backoff_delay(milliseconds first, std::uint32_t doublings,
    milliseconds max_delay) -> milliseconds
{
    return std::min(
        first * (1 << std::min(doublings, max_doublings)), max_delay);
}

} // namespace knapweedstream

#endif
