/// Messages by which instances of an availability zone pass changes of the
/// store's objects on, so that only a few of them call the store.
#ifndef KNAPWEEDSTREAM_PORT_RELAY_HPP
#define KNAPWEEDSTREAM_PORT_RELAY_HPP

#include "port/store.hpp"

#include <knapweedstream/ids.hpp>
#include <knapweedstream/time.hpp>

namespace knapweedstream::dispatch
{

/// A pending question of another instance.
using relay_caller_id = handle<struct relay_caller_tag>;

/// How far an instance knows one kind of objects.
struct relay_position
{
    store_kind kind = store_kind::configuration;
    store_version version; ///< All changes up to it are known.
    auto operator<=>(relay_position const&) const = default;
};

/// Asks for the changes after the given positions.
struct relay_request
{
    std::string from; ///< Name of the instance that asks.
    std::vector<relay_position> known;
    milliseconds wait{0}; ///< Longest wait for a change.
    auto operator<=>(relay_request const&) const = default;
};

/// Changes of one kind.
struct relay_update
{
    store_kind kind = store_kind::configuration;
    store_version version; ///< All changes up to it are known then.
    /// The changes are the whole list; other objects no longer exist.
    bool complete = false;
    std::vector<stored_change> changes;
    auto operator<=>(relay_update const&) const = default;
};

/// Answer to `relay_request`.
struct relay_reply
{
    /// False if the instance cannot pass changes on at present, for example
    /// since it has lost the store itself. There are no updates then.
    bool serving = false;
    std::vector<relay_update> updates;
    auto operator<=>(relay_reply const&) const = default;
};

} // namespace knapweedstream::dispatch

#endif
