/// This instance's record in the store, and the claims that all records state.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_OWN_RECORD_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_OWN_RECORD_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Writes this instance's record if the list of instances lacks it or has
/// another version of it.
auto ensure_record(dispatch_state& s, commands& out) -> void;

/// Reads the list of instances again soon.
///
/// @param[in] fresh The list must not be stale.
auto list_instances_soon(dispatch_state& s, bool fresh, time_point now) -> void;

/// Counts the claims of a complete list of instances.
auto count_claims(dispatch_state& s, listing const& l, time_point now) -> void;

/// Handles the answer to a write of this instance's record. A record that
/// exists although it was not listed is replaced; one that is missing is
/// created after the next list, in which other failures show too.
auto on_record_written(dispatch_state& s, store_written const& e,
    time_point now, commands& out) -> void;

} // namespace knapweedstream::dispatch

#endif
