/// Rendezvous hashing: instances agree on owners without exchanging messages.
#ifndef KNAPWEEDSTREAM_CORE_RENDEZVOUS_HPP
#define KNAPWEEDSTREAM_CORE_RENDEZVOUS_HPP

#include <knapweedstream/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace knapweedstream
{

/// An instance that may become an owner.
struct rendezvous_node
{
    instance_id instance;
    zone_id zone;

    auto operator<=>(rendezvous_node const&) const = default;
};

/// Ranks instances for a key, and chooses `n` of them in different zones where
/// possible.
///
/// @param[in] key Hash of what is to be owned.
/// @param[in] nodes Live instances, in any order.
/// @param[in] n Owners wanted.
/// @returns At most `n` instances: the best of each zone by rank, then the
///     others by rank.
auto rendezvous(std::uint64_t key, std::span<rendezvous_node const> nodes,
    std::size_t n) -> std::vector<instance_id>;

} // namespace knapweedstream

#endif
