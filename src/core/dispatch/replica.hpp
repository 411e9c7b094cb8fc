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

/// Copy of the objects of one kind, all of one era.
struct replica
{
    std::map<std::string, replica_entry> entries; ///< By name.
    /// The deletions before this version are not known.
    store_version forgotten;

    auto operator<=>(replica const&) const = default;
};

/// Takes over a complete list; objects that it lacks are deleted. Deletions
/// before it are not known: an object may have come and gone since the last
/// one.
auto record_list(replica& r, std::span<stored_object const> objects,
    store_version version, time_point now) -> void;

/// Takes over changes. A change older than the object known is ignored.
auto record_changes(replica& r, std::span<stored_change const> changes,
    std::uint64_t era, time_point now) -> void;

/// Changes after a version, or the whole list if deletions after it are not
/// known.
///
/// @param[in] version Version up to which the copy is complete.
auto update_after(replica const& r, relay_position const& known,
    store_version version, time_point now) -> relay_update;

} // namespace knapweedstream::dispatch

#endif
