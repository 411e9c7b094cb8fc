#include <knapweedstream/ids.hpp>

#include <xxhash.h>

namespace knapweedstream
{

auto hash_name(std::string_view name, std::uint64_t seed) -> std::uint64_t
{
    auto const h = XXH3_64bits_withSeed(name.data(), name.size(), seed);
    return h == 0 ? 1 : h; // 0 stands for "none" in handles.
}

} // namespace knapweedstream
