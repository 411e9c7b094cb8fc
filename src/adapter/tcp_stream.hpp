/// A TCP connection on the loop: reads are handed on, writes are queued.
#ifndef KNAPWEEDSTREAM_ADAPTER_TCP_STREAM_HPP
#define KNAPWEEDSTREAM_ADAPTER_TCP_STREAM_HPP

#include "adapter/error.hpp"
#include "adapter/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// How a stream ended.
enum class stream_end : std::uint8_t
{
    refused, ///< The connection was never established.
    closed,  ///< The other side closed it in an orderly way.
    reset,   ///< It broke.
};

/// How the operating system watches over a stream.
struct stream_options
{
    milliseconds unacked_timeout{
        0};                    ///< Bytes not acknowledged break it; 0: no.
    seconds keepalive_idle{0}; ///< Idle time before keep-alive probes; 0: none.

    auto operator<=>(stream_options const&) const = default;
};

/// One connection. A callback may close it, but must not destroy it.
class tcp_stream
{
public:
    struct callbacks
    {
        std::function<void()> opened;
        std::function<void(std::string_view)> received;
        std::function<void()> drained; ///< All that was queued is written.
        std::function<void(stream_end)> ended; ///< The last call, once.
    };

    /// Connects to an IP number and port.
    tcp_stream(event_base* base, std::string const& address,
        stream_options const& options, callbacks f);

    /// Takes an accepted connection.
    tcp_stream(event_base* base, int fd, callbacks f);

    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    auto operator=(tcp_stream const&) -> tcp_stream& = delete;

    /// Queues bytes; what the system takes at once is written at once.
    auto write(std::string_view bytes) -> void;

    /// Sends an end after what is queued, and reads on.
    auto shut_down() -> void;

    /// Closes at once; no further callback.
    auto close() -> void;

    /// Closes at once and tells the other side that the connection broke.
    auto reset() -> void;

    auto is_open() const -> bool { return fd_ >= 0; }
    auto unwritten() const -> std::size_t { return queued_.size() - written_; }

    /// True if any byte has been handed to the system.
    auto has_written() const -> bool { return sent_any_; }

private:
    static auto on_event(evutil_socket_t fd, short what, void* arg) -> void;
    auto enable_event(short what) -> void;
    auto on_readable() -> void;
    auto on_writable() -> void;
    auto finish_connect() -> bool;
    auto flush() -> void;
    auto end(stream_end how) -> void;

    event_base* base_;
    callbacks callbacks_;
    int fd_ = -1;
    bool connecting_ = false;
    bool shutdown_requested_ = false;
    bool sent_any_ = false;
    event_ptr read_event_;
    event_ptr write_event_;
    std::string queued_;
    std::size_t written_ = 0; ///< Of `queued_`.
    event_ptr
        fail_event_; ///< Tells a failure at the start from within the loop.
};

/// Listens on an address and hands on accepted descriptors.
class tcp_listener
{
public:
    using on_accept = std::function<void(int fd)>;

    tcp_listener(event_base* base, on_accept f);
    ~tcp_listener();
    tcp_listener(tcp_listener const&) = delete;
    auto operator=(tcp_listener const&) -> tcp_listener& = delete;

    auto start(std::string const& address, std::string const& used_for)
        -> leaf::result<void>;

private:
    auto accept_all() -> void;

    event_base* base_;
    on_accept on_accept_;
    int fd_ = -1;
    std::unique_ptr<loop_event> event_;
};

} // namespace knapweedstream

#endif
