/// Objects of the store stand-in with revisions and history. The table can go
/// back to an older copy of itself.
#ifndef KNAPWEEDSTREAM_STANDIN_OBJECT_TABLE_HPP
#define KNAPWEEDSTREAM_STANDIN_OBJECT_TABLE_HPP

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin
{

namespace json = boost::json;

/// Objects by kind and name, with the history of changes.
class object_table
{
public:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        json::object object;
        bool deleted = false;
    };

    /// Creates an object or replaces its `spec` or `status`.
    ///
    /// @returns The object; nothing if `revision` is given and does not match
    ///          the object's.
    auto put(std::string const& kind, std::string const& name,
        std::string const& part, json::value const& content,
        std::optional<std::uint64_t> revision) -> std::optional<json::object>;

    auto remove(std::string const& kind, std::string const& name) -> bool;
    auto find(std::string const& kind, std::string const& name) const
        -> json::object const*;

    /// One page of a kind's objects in order of name, after the name `after`.
    auto list(std::string const& kind, std::string const& after) const
        -> json::object;

    /// Changes of a kind after a revision; nothing if the history no longer
    /// holds them, or if the store has not reached that revision.
    auto changes(std::string const& kind, std::uint64_t since) const
        -> std::optional<std::vector<change>>;

    /// Drops the history, so that watches of older revisions fail.
    auto compact() -> void;

    /// Goes back to the copy that lacks the last `n` revisions, or as many as
    /// the table can undo. They are given out again in a new era.
    auto restore(std::size_t n) -> void;

    /// Writes again what operator and targets had written and a restore lost:
    /// each object's last `spec`, unless it was written since.
    auto write_again() -> void;

    auto revision() const -> std::uint64_t { return revision_; }
    auto era() const -> std::uint64_t { return era_; }

private:
    using object_key = std::pair<std::string, std::string>; ///< Kind and name.

    /// What an object was before a change; both parts are empty for a revision
    /// that changed no object.
    struct undo_step
    {
        object_key key;
        std::optional<json::object> before;
    };

    auto record(std::string const& kind, json::object const& o, bool deleted,
        std::optional<json::object> before) -> void;
    auto undo(undo_step const& s) -> void;

    std::uint64_t revision_ = 100;
    std::uint64_t era_ = 1;
    std::uint64_t oldest_revision_ = 100; ///< Changes up to it are dropped.
    std::map<std::string, std::map<std::string, json::object>> kinds_;
    std::deque<change> history_;
    std::deque<undo_step> undo_steps_; ///< One per revision, oldest first.
    /// Last `spec` of the objects whose writes a restore lost; empty if the
    /// object had been removed.
    std::map<object_key, std::optional<json::value>> lost_specs_;
};

} // namespace standin

#endif
