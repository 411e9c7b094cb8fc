/// Divides the connections that a target accepts among the instances.
///
/// Each instance computes the same division from the list of instances, so that
/// no messages between them are needed. Instances in the target's region get
/// their first connection first. Then come the instances of other regions for
/// which this target is the first of the service's far targets in an order that
/// a hash defines, then further connections in turn.
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

/// A target whose connections are divided.
struct shared_target
{
    target_id id;
    std::string region;
    std::uint32_t connections = 0; ///< To divide among the instances.

    auto operator<=>(shared_target const&) const = default;
};

/// Maximum number of connections of one instance to a target in its region.
constexpr auto max_near_connections = 6u;
/// Maximum number of connections of one instance to a target in another region.
constexpr auto max_far_connections = 3u;

/// Number of connections that one instance may have to each target of a
/// service.
///
/// @param[in] targets All targets of the service.
/// @param[in] instances All instances, including `self`.
/// @param[in] self The instance whose shares are computed.
/// @returns One number for each target, in the order of `targets`.
auto connection_shares(std::span<shared_target const> targets,
    std::span<instance_record const> instances, instance_record const& self)
    -> std::vector<std::uint32_t>;

} // namespace knapweedstream::dispatch

#endif
