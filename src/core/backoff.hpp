/// Waits that grow with each failure in a row.
#ifndef KNAPWEEDSTREAM_CORE_BACKOFF_HPP
#define KNAPWEEDSTREAM_CORE_BACKOFF_HPP

#include <knapweedstream/time.hpp>

#include <algorithm>
#include <cstdint>

namespace knapweedstream
{

constexpr auto most_doublings = 10u; ///< Keeps the product in range.

/// The first wait doubled so many times, at most `most`.
inline auto doubled(milliseconds first, std::uint32_t times, milliseconds most)
    -> milliseconds
{
    return std::min(first * (1 << std::min(times, most_doublings)), most);
}

} // namespace knapweedstream

#endif
