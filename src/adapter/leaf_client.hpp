/// Connections to targets: the leaf protocol over HTTP.
#ifndef KNAPWEEDSTREAM_ADAPTER_LEAF_CLIENT_HPP
#define KNAPWEEDSTREAM_ADAPTER_LEAF_CLIENT_HPP

#include "adapter/http_client.hpp"
#include "adapter/reply_memory.hpp"
#include "port/command.hpp"
#include "port/event.hpp"

#include <map>
#include <unordered_map>

namespace knapweedstream
{

/// Passes events to the node.
using event_sink = std::function<void(event)>;

/// Executes commands for targets and reports their answers.
class leaf_client
{
public:
    leaf_client(loop_ref base, event_sink sink);

    auto run(leaf_open const& c) -> void;
    auto run(leaf_close const& c) -> void;
    auto run(leaf_search const& c) -> void;
    auto run(leaf_book const& c) -> void;
    auto run(leaf_cancel const& c) -> void;

    /// Frees closed connections; must not be called from the callback of one.
    auto free_closed() -> void;

private:
    auto on_hello(connection_id id, http_reply const& r) -> void;
    /// @param[in] booking The request was a booking, not a search.
    auto on_answer(connection_id id, http_reply const& r, bool booking) -> void;
    auto close(connection_id id, bool refused) -> void;
    /// Takes note that a reply has grown, and refuses the largest ones if all
    /// partial replies take too much memory.
    auto limit_reply(connection_id id) -> void;
    /// Refuses the reply to a cancellation if it is too large.
    auto limit_cancel(std::string const& address) -> void;

    loop_ref base_;
    event_sink sink_;
    std::unordered_map<connection_id, std::unique_ptr<http_connection>>
        connections_;
    reply_memory reply_memory_;
    /// By address; cancellations do not queue behind the requests they cancel.
    std::map<std::string, std::unique_ptr<http_connection>> cancel_connections_;
    std::vector<std::unique_ptr<http_connection>> closed_; ///< Not yet freed.
};

} // namespace knapweedstream

#endif
