/// HTTP client connections with request queues.
#ifndef KNAPWEEDSTREAM_ADAPTER_HTTP_CLIENT_HPP
#define KNAPWEEDSTREAM_ADAPTER_HTTP_CLIENT_HPP

#include "adapter/event_loop.hpp"
#include "adapter/http_link.hpp"

#include <knapweedstream/time.hpp>

#include <event2/http.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstream
{

/// A header field of a request.
struct http_field
{
    std::string_view name;
    std::string value;
};

/// A request to send.
struct http_request
{
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<http_field> fields;
    std::string body;
};

/// A reply; valid only during the callback that receives it.
class http_reply
{
public:
    /// @param[in] m Null if there was no reply.
    explicit http_reply(http_message const* m) : message_(m) {}

    /// HTTP status; 0 if there was no reply.
    auto status() const -> std::uint32_t;

    /// Value of a header field; empty if there is none.
    auto field(char const* name) const -> std::string_view;

    auto body() const -> std::string_view;

private:
    http_message const* message_;
};

/// What a connection reports besides replies; each callback is optional.
struct http_connection_callbacks
{
    /// The connection closed while no request was pending.
    std::function<void()> closed = {};
    /// A part of a reply was received, but not all of it.
    std::function<void()> grew = {};
};

/// A connection that sends its requests one after the other, in order. It is
/// opened again if it has closed. A callback must not destroy it.
class http_connection
{
public:
    using on_reply = std::function<void(http_reply const&)>;

    /// @param[in] address IP address and port.
    /// @param[in] timeout Limit for each reply, with connecting.
    http_connection(loop_ref base, std::string const& address, duration timeout,
        http_connection_callbacks f = {});
    http_connection(http_connection const&) = delete;
    auto operator=(http_connection const&) -> http_connection& = delete;

    /// Sends a request. The callback runs once, with status 0 on failure; it
    /// does not run after this object is destroyed.
    auto send(http_request const& r, on_reply f) -> void;

    /// Bytes kept of a reply that is not complete.
    auto partial_bytes() const -> std::size_t;

    /// Ends the connection, since the reply must not grow any further.
    auto refuse_reply() -> void;

private:
    struct pending
    {
        std::string text; ///< Of the request.
        bool is_head = false;
        on_reply f;
    };

    auto start_next() -> void;
    auto connect() -> void;
    auto drop_link() -> void;
    auto on_replied(http_message const& m, bool reusable) -> void;
    auto on_ended() -> void;
    auto finish(http_message const* m) -> void;

    loop_ref base_;
    std::string address_;
    duration timeout_;
    http_connection_callbacks callbacks_;
    std::deque<pending> queue_; ///< The first one may be in flight.
    bool in_flight_ = false;
    std::unique_ptr<http_link> link_;
    std::vector<std::unique_ptr<http_link>> dropped_; ///< Not yet freed.
    loop_event timer_; ///< Limits the request in flight.
    loop_event free_dropped_;
};

} // namespace knapweedstream

#endif
