/// Model of the platform's store: objects by kind, their changes, and the loss
/// of the newest ones.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_MODEL_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_MODEL_HPP

#include "port/store.hpp"

#include <knapweedstream/time.hpp>

#include <map>
#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// A change that the store has acknowledged.
struct acknowledged_change
{
    store_kind kind = store_kind::configuration;
    stored_change change;
    time_point at;
    auto operator<=>(acknowledged_change const&) const = default;
};

class store_model
{
public:
    /// Writes an object under the next revision, which is returned.
    auto write(store_kind kind, stored_object o, time_point now)
        -> std::uint64_t;

    /// Deletes an object if it exists.
    auto remove(store_kind kind, std::string const& name, time_point now)
        -> void;

    /// Goes back to the state at a time and begins an era.
    ///
    /// @returns The changes that are lost, the oldest first.
    auto restore(time_point from) -> std::vector<acknowledged_change>;

    /// Goes back by a number of revisions and begins an era.
    auto lose(std::size_t revisions) -> std::vector<acknowledged_change>;

    auto era() const -> std::uint64_t { return era_; }
    auto newest() const -> std::uint64_t;
    /// Revision of the last change of a kind; 0 if there was none.
    auto newest_of(store_kind kind) const -> std::uint64_t;
    /// Newest revision at a time.
    auto revision_at(time_point t) const -> std::uint64_t;

    auto find(store_kind kind, std::string const& name) const
        -> stored_object const*;
    auto objects(store_kind kind) const -> std::vector<stored_object>;
    auto objects_at(store_kind kind, std::uint64_t revision) const
        -> std::vector<stored_object>;
    auto changes_after(store_kind kind, std::uint64_t since) const
        -> std::vector<stored_change>;

private:
    using objects_by_name = std::map<std::string, stored_object>;

    auto apply(acknowledged_change const& c) -> void;

    std::vector<acknowledged_change> history_; ///< One for each revision.
    std::map<store_kind, objects_by_name> objects_;
    std::map<store_kind, std::uint64_t> newest_of_;
    std::uint64_t era_ = 1;
};

} // namespace knapweedstream::dispatch

#endif
