/// Applies what targets say of themselves in their replies.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_HEAR_NOTICES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_HEAR_NOTICES_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Takes over what a target says of itself in a reply; reports each notice that
/// changes. Idle connections to a target that leaves are closed.
auto hear_notices(dispatch_state& s, target_entry& t,
    target_statement const& said, time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
