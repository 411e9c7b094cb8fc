/// HTTP client connections with request queues: RAII over libevent's evhttp.
#ifndef KNAPWEEDSTREAM_ADAPTER_HTTP_CLIENT_HPP
#define KNAPWEEDSTREAM_ADAPTER_HTTP_CLIENT_HPP

#include "adapter/event_loop.hpp"

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
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
    explicit http_reply(evhttp_request* raw) : raw_(raw) {}

    /// HTTP status; 0 if there was no reply.
    auto status() const -> std::uint32_t;

    /// Value of a header field; empty if there is none.
    auto field(char const* name) const -> std::string_view;

    auto body() const -> std::string_view;

private:
    evhttp_request* raw_;
};

/// A connection that sends its requests one after the other, in order.
class http_connection
{
public:
    using on_reply = std::function<void(http_reply const&)>;
    using on_close = std::function<void()>;

    /// @param[in] address IP address and port.
    /// @param[in] timeout Limit for connecting and for each reply.
    /// @param[in] closed Called when the connection closes while no request is
    ///     pending.
    http_connection(event_base* base, std::string const& address,
        duration timeout, on_close closed = {});
    ~http_connection();
    http_connection(http_connection const&) = delete;
    auto operator=(http_connection const&) -> http_connection& = delete;

    /// Sends a request. The callback runs once, with status 0 on failure; it
    /// does not run after this object is destroyed.
    auto send(http_request const& r, on_reply f) -> void;

private:
    struct pending;
    static auto on_done(evhttp_request* raw, void* arg) -> void;
    static auto on_closed(evhttp_connection* raw, void* arg) -> void;

    std::string host_;
    evhttp_connection* raw_;
    on_close on_close_;
    std::vector<std::unique_ptr<pending>> pending_;
};

} // namespace knapweedstream

#endif
