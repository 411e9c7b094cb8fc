/// Stand-in of the platform's store: objects, revisions, lists, watches,
/// conditional writes, and its failures as switches.
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

    /// Makes or replaces an object's `spec` or `status`.
    ///
    /// @returns The object; nothing if `revision` is given and is not its own.
    auto put(std::string const& kind, std::string const& name,
        std::string const& part, json::value const& content,
        std::optional<std::uint64_t> revision) -> std::optional<json::object>;

    auto remove(std::string const& kind, std::string const& name) -> bool;
    auto find(std::string const& kind, std::string const& name) const
        -> json::object const*;

    /// A page of a kind's objects after a name.
    auto list(std::string const& kind, std::string const& after) const
        -> json::object;

    /// Changes of a kind after a revision; nothing if they are gone.
    auto changes(std::string const& kind, std::uint64_t since) const
        -> std::optional<std::vector<change>>;

    /// Drops the history.
    auto compact() -> void;

    auto revision() const -> std::uint64_t { return revision_; }

private:
    auto record(std::string const& kind, json::object const& o, bool deleted)
        -> void;

    std::uint64_t revision_ = 100;
    std::uint64_t oldest_revision_ = 100; ///< Changes up to it are gone.
    std::map<std::string, std::map<std::string, json::object>> kinds_;
    std::deque<change> history_;
};

/// How the store behaves at present.
enum class store_mode : std::uint8_t
{
    good,
    busy,              ///< 503
    too_many_requests, ///< 429
    reset,             ///< Resets each connection that calls.
    silent,            ///< Takes calls and never answers.
    lossy,             ///< Carries writes out and resets instead of answering.
};

/// Serves the table. `POST /control?mode=busy&slow_ms=50&compact=1`.
class store_server
{
public:
    store_server(event_base* base, std::uint16_t port);

    auto table() -> object_table& { return table_; }

    /// Tells waiting watches of changes made to the table directly.
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
        ks::http_message const& m) -> void;
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
