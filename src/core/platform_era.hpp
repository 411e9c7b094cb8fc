/// Eras of the platform: each begins when it comes back from an older copy of
/// its data.
#ifndef KNAPWEEDSTREAM_CORE_PLATFORM_ERA_HPP
#define KNAPWEEDSTREAM_CORE_PLATFORM_ERA_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Records the era that the platform or a peer states. In a later one, claims
/// and rollouts are read again before they are used.
///
/// @returns True if it is a later one than was known.
auto observe_platform_era(
    node_state& s, std::uint64_t era, time_point now, commands& out) -> bool;

} // namespace knapweedstream

#endif
