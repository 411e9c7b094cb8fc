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

/// How a link ended.
enum class link_end : std::uint8_t
{
    refused, ///< It was never established.
    closed,  ///< The other side closed it.
    reset,   ///< It broke.
    garbled, ///< Bytes came that are no message, or that were not asked for.
};

/// One connection. A callback may close it, but must not destroy it.
class http_link
{
public:
    struct callbacks
    {
        std::function<void()> opened;
        /// A whole response; `reusable` if another request may follow.
        std::function<void(http_message&&, bool reusable)> replied;
        std::function<void(link_end)> ended; ///< The last call, once.
    };

    http_link(event_base* base, std::string const& address,
        stream_options const& options, read_limits const& limits, callbacks f);

    /// Sends a request; none may be in flight.
    ///
    /// @param[in] to_head It is a HEAD: its response has no body.
    auto send(std::string_view text, bool head_request = false) -> void;

    auto close() -> void { stream_.close(); }
    auto is_open() const -> bool { return stream_.is_open(); }
    auto is_busy() const -> bool { return busy_; }

    /// True if no byte of the request in flight was handed to the system.
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
};

} // namespace knapweedstream

#endif
