/// Stand-in of the platform's store: objects with revisions, lists, watches and
/// conditional writes, with faults that tests switch on.
#ifndef KNAPWEEDSTREAM_STANDIN_STORE_HPP
#define KNAPWEEDSTREAM_STANDIN_STORE_HPP

#include "wire_server.hpp"

#include <boost/json.hpp>

#include <deque>
#include <map>
#include <optional>

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
    /// holds them.
    auto changes(std::string const& kind, std::uint64_t since) const
        -> std::optional<std::vector<change>>;

    /// Drops the history, so that watches of older revisions fail.
    auto compact() -> void;

    auto revision() const -> std::uint64_t { return revision_; }

private:
    auto record(std::string const& kind, json::object const& o, bool deleted)
        -> void;

    std::uint64_t revision_ = 100;
    std::uint64_t oldest_revision_ = 100; ///< Changes up to it are dropped.
    std::map<std::string, std::map<std::string, json::object>> kinds_;
    std::deque<change> history_;
};

/// How the store answers calls.
enum class store_mode : std::uint8_t
{
    good,
    busy,              ///< Answers 503.
    too_many_requests, ///< Answers 429.
    reset,             ///< Resets the connection of each call.
    silent,            ///< Never answers.
    lossy,             ///< Executes calls, then resets the connection.
};

/// Serves the table over HTTP. `POST /control?mode=busy&slow_ms=50&compact=1`
/// sets the mode and the delay of answers and drops the history.
class store_server
{
public:
    store_server(event_base* base, std::uint16_t port);

    auto table() -> object_table& { return table_; }

    /// Answers waiting watches after the table was changed directly.
    auto notify_watches() -> void;

    auto set_mode(store_mode m) -> void { mode_ = m; }

private:
    struct waiting_watch
    {
        client_id client = 0;
        std::string kind;
        std::uint64_t since = 0;
        ks::time_point until;
    };

    auto on_call(client_id id, ks::http_message const& m) -> void;
    auto serve(client_id id, ks::http_message const& m) -> void;
    auto get(client_id id, std::string const& kind, std::string const& name,
        std::string const& target) -> void;
    auto write(client_id id, std::string const& kind, std::string name,
        std::string const& part, ks::http_message const& m) -> void;
    auto answer_watch(waiting_watch const& w, bool even_if_empty) -> bool;
    auto reply(client_id id, std::uint32_t status, json::value const& body)
        -> void;
    auto control(client_id id, std::string const& target) -> void;
    auto sweep() -> void;

    object_table table_;
    store_mode mode_ = store_mode::good;
    ks::milliseconds call_delay_{0};
    std::vector<waiting_watch> waiting_;
    wire_server server_;
    event_base* base_;
    ks::loop_event sweep_timer_;
    std::deque<std::pair<ks::time_point, std::function<void()>>> delayed_;
    ks::loop_event delay_timer_;
};

} // namespace standin

#endif
