/// Deterministic random numbers with the generator's state as a value.
#ifndef KNAPWEEDSTREAM_CORE_RANDOM_HPP
#define KNAPWEEDSTREAM_CORE_RANDOM_HPP

#include <knapweedstream/ids.hpp>

#include <array>
#include <bit>
#include <compare>
#include <cstdint>
#include <string_view>

namespace knapweedstream
{

/// Counter-based generator: number `n` is the hash of seed and counter.
struct random_state
{
    std::uint64_t seed = 1;
    std::uint64_t counter = 0;

    auto operator<=>(random_state const&) const = default;
};

/// A random number and the next state.
struct random_draw
{
    std::uint64_t value = 0;
    random_state next;
};

/// Draws a 64-bit number.
inline auto draw(random_state const& s) -> random_draw
{
    auto const bytes = std::bit_cast<std::array<char, 8>>(s.counter);
    auto const v = hash_name({bytes.data(), bytes.size()}, s.seed);
    return {v, {s.seed, s.counter + 1}};
}

/// Draws a number below `n`, or 0 if `n` is 0, and advances `s` in place.
inline auto draw_below(random_state& s, std::uint64_t n) -> std::uint64_t
{
    auto const d = draw(s);
    s = d.next;
    return n == 0 ? 0 : d.value % n;
}

} // namespace knapweedstream

#endif
