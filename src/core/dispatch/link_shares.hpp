/// This instance's share of the connections to each target, computed on demand
/// from the known instances (see `sharing.hpp`).
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_LINK_SHARES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_LINK_SHARES_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// This instance's share of the connections to the target; computed if it is
/// out of date.
auto share_of(dispatch_state& s, target_entry& t, time_point now) -> link_share;

/// Marks the shares of a service's targets as out of date.
auto invalidate_shares(dispatch_state& s, service_id service) -> void;

/// Marks the shares of all targets as out of date.
auto invalidate_all_shares(dispatch_state& s) -> void;

} // namespace knapweedstream::dispatch

#endif
