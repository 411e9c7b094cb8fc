/// Strongly typed identifiers of instances, targets, requests and so on.
#ifndef KNAPWEEDSTREAM_IDS_HPP
#define KNAPWEEDSTREAM_IDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace knapweedstream
{

/// A strongly typed identifier; different tags are different types.
template <class Tag, class Rep = std::uint64_t>
struct handle
{
    Rep value{}; ///< Raw value; 0 means "none", except for `shard_id`.

    auto operator<=>(handle const&) const = default;
};

using instance_id = handle<struct instance_tag>; ///< Hash of the instance name.
using customer_id = handle<struct customer_tag>; ///< Hash of the customer name.
using service_id = handle<struct service_tag>;   ///< Hash of customer/service.
using target_id = handle<struct target_tag>;     ///< Hash of the target name.
using zone_id = handle<struct zone_tag>;         ///< Hash of the zone name.
using boot_id = handle<struct boot_tag>; ///< Changes at each start of a target.
/// Index in the shard map.
using shard_id = handle<struct shard_tag, std::uint32_t>;
using caller_id = handle<struct caller_tag>;   ///< An open request of a caller.
using query_id = handle<struct query_tag>;     ///< A query or booking.
using attempt_id = handle<struct attempt_tag>; ///< A request sent to a target.
using connection_id = handle<struct connection_tag>; ///< Target connection.
using fingerprint = handle<struct fingerprint_tag>;  ///< Request content hash.
using claim_token = handle<struct token_tag>;        ///< Holder of a claim.

/// Hashes a name to a handle value (XXH3, stable across processes).
///
/// @param[in] name Name to hash, as given in the configuration.
/// @param[in] seed Different seeds give independent hashes.
/// @returns 64-bit hash, never 0.
auto hash_name(std::string_view name, std::uint64_t seed = 0) -> std::uint64_t;

/// Returns the handle for a name.
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
