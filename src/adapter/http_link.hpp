/// A client connection that carries one HTTP request at a time.
#ifndef KNAPWEEDSTREAM_ADAPTER_HTTP_LINK_HPP
#define KNAPWEEDSTREAM_ADAPTER_HTTP_LINK_HPP

#include "adapter/http_reader.hpp"
#include "adapter/tcp_stream.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// How a client connection ended.
enum class link_end : std::uint8_t
{
    refused, ///< The connection was never established.
    closed,  ///< The server closed it.
    reset,   ///< It broke, for example by a reset or a timeout.
    /// The server sent bytes that are not an acceptable response, or sent bytes
    /// without a request in flight.
    garbled,
};

/// A client connection. A callback may close the link but must not destroy it.
class http_link
{
public:
    struct callbacks
    {
        std::function<void()> opened;
        /// A complete response; `reusable` if the connection can carry another
        /// request.
        std::function<void(http_message&&, bool reusable)> replied;
        /// The connection ended; the last callback. Not called after a local
        /// `close`.
        std::function<void(link_end)> ended;
        /// Part of a response was received, but not all of it; optional.
        std::function<void()> grew = {};
    };

    http_link(loop_ref base, std::string const& address,
        stream_options const& options, read_limits const& limits, callbacks f);

    /// Sends a request; no other may be in flight.
    ///
    /// @param[in] text The whole request as it is sent, with head and body.
    /// @param[in] head_request The method is HEAD: the response has no body.
    auto send(std::string_view text, bool head_request = false) -> void;

    auto close() -> void;
    /// Ends the connection, since the response must not grow any further.
    auto refuse_response() -> void { finish(link_end::garbled); }

    /// Bytes kept of a response that is not complete.
    auto partial_bytes() const -> std::size_t
    {
        return reader_.partial_bytes();
    }

    auto is_open() const -> bool { return stream_.is_open(); }
    auto is_busy() const -> bool { return busy_; }

    /// True if a request is in flight and none of its bytes has been passed to
    /// the operating system.
    auto is_unsent() const -> bool;

private:
    auto on_received(std::string_view bytes) -> void;
    auto on_ended(stream_end how) -> void;
    auto deliver(bool reusable) -> void;
    auto finish(link_end how) -> void;

    callbacks callbacks_;
    http_reader reader_;
    tcp_stream stream_;
    std::size_t request_bytes_ = 0;
    bool busy_ = false;
    bool opened_ = false;
    bool closed_ = false; ///< By `close`.
};

} // namespace knapweedstream

#endif
