/// How the instances share the connections that a target accepts.
///
/// Each instance works out the same division of a target's connections from
/// the list of instances, so that they need not talk to each other. First come
/// one connection for each instance near the target and one for each far one
/// that prefers it among the far targets of its service, then further ones.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_SHARING_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_SHARING_HPP

#include <knapweedstream/ids.hpp>
#include <knapweedstream/registration.hpp>

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// A target of a service, for the division of its connections.
struct shared_target
{
    target_id id;
    std::string region;
    std::uint32_t connections = 0; ///< To be divided.

    auto operator<=>(shared_target const&) const = default;
};

constexpr auto max_near_connections = 6u; ///< Of one instance to a target
constexpr auto max_far_connections = 3u;  ///< of its region, or of another.

/// Connections that one instance may hold to each target of a service.
///
/// @param[in] targets All targets of the service.
/// @param[in] instances All instances; the one that asks among them.
/// @param[in] self The instance that asks.
/// @returns A number for each target, in their order.
auto connection_shares(std::span<shared_target const> targets,
    std::span<instance_record const> instances, instance_record const& self)
    -> std::vector<std::uint32_t>;

} // namespace knapweedstream::dispatch

#endif
