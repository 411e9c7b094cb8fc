/// Typed handles of the things the query tier keeps in its tables.
#ifndef KNAPWEEDSTREAM_IDS_HPP
#define KNAPWEEDSTREAM_IDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace knapweedstream
{

/// A strongly typed handle; handles of different tags do not mix.
template <class Tag, class Rep = std::uint64_t>
struct handle
{
    Rep value{}; ///< Raw value; 0 stands for "none".

    auto operator<=>(handle const&) const = default;
};

using instance_id = handle<struct instance_tag>; ///< Hash of instance name.
using customer_id = handle<struct customer_tag>; ///< Hash of customer name.
using service_id = handle<struct service_tag>;   ///< Hash of customer/service.
using target_id = handle<struct target_tag>;     ///< Hash of target name.
using zone_id = handle<struct zone_tag>;         ///< Hash of zone name.
using boot_id = handle<struct boot_tag>;         ///< New at each target start.
using shard_id = handle<struct shard_tag, std::uint32_t>; ///< Index in map.
using caller_id = handle<struct caller_tag>;   ///< One open caller request.
using query_id = handle<struct query_tag>;     ///< One query of one entry.
using attempt_id = handle<struct attempt_tag>; ///< One request to a leaf.
using connection_id = handle<struct connection_tag>; ///< One leaf connection.
using fingerprint = handle<struct fingerprint_tag>;  ///< Hash of a request.
using claim_token = handle<struct token_tag>; ///< Proves a claim's holder.

/// Hashes a name to the value of a handle (XXH3, stable across processes).
///
/// @param[in] name Name as given in configuration.
/// @param[in] seed Separates independent hash families.
/// @returns 64-bit hash, never 0.
auto hash_name(std::string_view name, std::uint64_t seed = 0) -> std::uint64_t;

/// Makes the handle of a named thing.
template <class Handle>
auto id_of(std::string_view name) -> Handle
{
    return Handle{hash_name(name)};
}

} // namespace knapweedstream

template <class Tag, class Rep>
struct std::hash<knapweedstream::handle<Tag, Rep>>
{
    auto operator()(knapweedstream::handle<Tag, Rep> const& it) const noexcept
        -> std::size_t
    {
        return std::hash<Rep>{}(it.value);
    }
};

#endif
