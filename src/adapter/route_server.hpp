/// HTTP server for callers' routed requests: reads each request completely,
/// keeps the connection until the answer, and reports callers that disconnect.
#ifndef KNAPWEEDSTREAM_ADAPTER_ROUTE_SERVER_HPP
#define KNAPWEEDSTREAM_ADAPTER_ROUTE_SERVER_HPP

#include "adapter/http_reader.hpp"
#include "adapter/target_links.hpp"
#include "adapter/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace knapweedstream
{

/// Converts callers' HTTP requests to routed requests, and answers to HTTP
/// responses.
struct caller_codec
{
    std::function<routed_request(http_message&&)> decode;
    std::function<http_message(
        caller_answer const&, std::string const& request_id)>
        encode;
};

/// Statistics of callers' connections, for metrics.
struct caller_stats
{
    std::uint64_t accepted = 0;  ///< Connections since the start.
    std::uint64_t open = 0;      ///< Connections now.
    std::uint64_t malformed = 0; ///< Malformed or oversized requests.
    std::uint64_t timeouts = 0;  ///< Requests that did not arrive in time.

    auto operator<=>(caller_stats const&) const = default;
};

/// Passes callers' requests to the dispatcher and sends its answers back.
class route_server
{
public:
    route_server(loop_ref base, caller_codec codec, dispatch_sink sink);
    ~route_server();
    route_server(route_server const&) = delete;
    auto operator=(route_server const&) -> route_server& = delete;

    /// Starts to listen on an IP address and port; `listen_error` on failure.
    auto start(std::string const& address) -> leaf::result<void>;

    auto run(dispatch::answer_caller const& c) -> void;
    auto run(dispatch::set_caller_limits const& c) -> void;

    /// From now on, closes each connection after its next answer.
    auto close_after_answers() -> void { draining_ = true; }

    /// Closes connections that wait for a request, and from now on the others
    /// after their next answer.
    auto run(dispatch::drain_callers const& c) -> void;

    auto stats() const -> caller_stats;

    /// Frees closed connections; must not be called from the callback of one.
    auto free_closed() -> void;

private:
    struct session;
    using session_id = std::uint64_t;

    auto accept(int fd) -> void;
    auto on_received(session_id id, std::string_view bytes) -> void;
    auto on_ended(session_id id) -> void;
    auto parse_received(session& s) -> void;
    /// Notes that a request is incomplete; sends `100 Continue` if its head has
    /// the field `Expect`.
    auto wait_for_rest(session& s) -> void;
    /// Passes the complete request to the dispatcher.
    auto submit(session& s) -> void;
    /// Answers a malformed, oversized or late request with an error status, and
    /// closes the connection after it.
    auto reject(session& s, std::uint32_t status) -> void;
    auto write(session& s, http_message const& m) -> void;
    /// Closes a connection without reporting it to the dispatcher.
    auto release(session_id id) -> void;
    /// Ends overdue connections and frees closed ones; runs once a second.
    auto sweep() -> void;
    /// True if the caller has exceeded the time limit of the connection's
    /// state. Waiting for the dispatcher's answer has no limit here.
    auto is_overdue(session const& s, time_point now) const -> bool;

    loop_ref base_;
    caller_codec codec_;
    dispatch_sink sink_;
    caller_limits limits_;
    tcp_listener listener_;
    loop_event sweep_;
    bool draining_ = false;
    session_id next_id_ = 1;
    caller_stats stats_;
    std::unordered_map<session_id, std::unique_ptr<session>> sessions_;
    std::vector<std::unique_ptr<session>> closed_;
};

} // namespace knapweedstream

#endif
