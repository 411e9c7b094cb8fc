/// Stand-in of the platform's store: objects with revisions, lists, watches and
/// conditional writes, with faults that tests switch on. It can be restored
/// from an older copy of itself.
#ifndef KNAPWEEDSTREAM_STANDIN_STORE_HPP
#define KNAPWEEDSTREAM_STANDIN_STORE_HPP

#include "object_table.hpp"
#include "wire_server.hpp"

#include <deque>

namespace standin
{

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

/// A restore from an older copy.
struct store_loss
{
    std::size_t revisions = 40;    ///< Lost ones.
    ks::milliseconds away{700};    ///< Time in which calls are reset.
    ks::milliseconds rewrite{900}; ///< Time until operator and targets have
                                   ///< written again; may be shorter.
};

/// Serves the table over HTTP. `POST /control?mode=busy&slow_ms=50&compact=1`
/// sets the mode and the delay of answers and drops the history;
/// `restore=40&away_ms=700&rewrite_ms=900` restores the store from an older
/// copy, and `era=none` or `era=x1` replaces the header `Store-Era` until
/// `era=own`. Calls to `/operator/objects/` are served in any mode.
class store_server
{
public:
    store_server(event_base* base, std::uint16_t port);

    auto table() -> object_table& { return table_; }

    /// Answers waiting watches after the table was changed directly.
    auto notify_watches() -> void;

    auto set_mode(store_mode m) -> void { mode_ = m; }

    /// Loses the last revisions and resets all calls for a time.
    auto restore(store_loss const& l) -> void;

private:
    struct waiting_watch
    {
        client_id client = 0;
        std::string kind;
        std::uint64_t since = 0;
        ks::time_point until;
    };

    auto is_away() const -> bool;
    auto on_call(client_id id, ks::http_message m) -> void;
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
    ks::time_point away_until_;
    std::string era_header_ = "own"; ///< `own`, `none` or the text to send.
    std::vector<waiting_watch> waiting_;
    wire_server server_;
    event_base* base_;
    ks::loop_event sweep_timer_;
    std::deque<std::pair<ks::time_point, std::function<void()>>> delayed_;
    ks::loop_event delay_timer_;
    ks::loop_event rewrite_timer_;
};

} // namespace standin

#endif
