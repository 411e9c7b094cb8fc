/// Versions of data that a store may lose when it is restored.
#ifndef KNAPWEEDSTREAM_STORE_VERSION_HPP
#define KNAPWEEDSTREAM_STORE_VERSION_HPP

#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// A point in the store's history. Revisions of two eras are not comparable:
/// all of a later era come after those of an earlier one.
struct store_version
{
    std::uint64_t era = 0; ///< 0 if the store states none.
    std::uint64_t revision = 0;
    auto operator<=>(store_version const&) const = default;
};

} // namespace knapweedstream

#endif
