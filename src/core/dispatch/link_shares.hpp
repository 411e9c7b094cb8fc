/// What this instance may hold to each target, worked out when it is needed
/// from the fleet that is known (see `sharing.hpp`).
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_LINK_SHARES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_LINK_SHARES_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Connections that this instance may have to the target.
auto share_of(dispatch_state& s, target_entry& t, time_point now) -> link_share;

/// Works the shares of a service's targets out anew when they are next needed.
auto invalidate_shares(dispatch_state& s, service_id service) -> void;

/// Likewise for all services.
auto invalidate_all_shares(dispatch_state& s) -> void;

} // namespace knapweedstream::dispatch

#endif
