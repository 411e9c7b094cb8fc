/// Follows the eras of the store: each begins when the store comes back from an
/// older copy of its data.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ERAS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ERAS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Records the era that an answer states.
///
/// @param[in] learned_from Kind of message that states it, for the log.
auto observe_era(dispatch_state& s, store_era era, char const* learned_from,
    commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
