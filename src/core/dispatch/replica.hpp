/// Copy of one kind of the store's objects, with the changes that led to it, so
/// that they can be passed on to other instances.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_REPLICA_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_REPLICA_HPP

#include "port/relay.hpp"

#include <map>
#include <span>

namespace knapweedstream::dispatch
{

/// An object, or the memory of one that was deleted.
struct replica_entry
{
    stored_object object;
    bool deleted = false;
    time_point at; ///< When it was received.

    auto operator<=>(replica_entry const&) const = default;
};

/// Copy of the objects of one kind.
struct replica
{
    std::map<std::string, replica_entry> entries; ///< By name.
    /// The deletions before this revision have been forgotten.
    std::uint64_t forgotten = 0;

    auto operator<=>(replica const&) const = default;
};

/// Takes over a complete list; objects that it lacks are deleted.
auto record_list(replica& r, std::span<stored_object const> objects,
    std::uint64_t revision, time_point now) -> void;

/// Takes over changes. A change older than the object known is ignored.
auto record_changes(
    replica& r, std::span<stored_change const> changes, time_point now) -> void;

/// Changes after a revision, or the whole list if deletions after it have been
/// forgotten.
///
/// @param[in] revision Revision up to which the copy is complete.
auto update_after(replica const& r, relay_position const& known,
    std::uint64_t revision, time_point now) -> relay_update;

} // namespace knapweedstream::dispatch

#endif
