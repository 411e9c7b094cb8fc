/// TCP connections on the event loop: received bytes go to a callback, writes
/// are queued.
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

/// How a TCP connection ended.
enum class stream_end : std::uint8_t
{
    refused, ///< The connection was never established.
    closed,  ///< The peer closed it cleanly.
    reset,   ///< Reading failed, for example after a reset or a timeout.
};

/// Timeouts by which the operating system detects a dead peer.
struct stream_options
{
    /// The connection breaks if sent bytes are not acknowledged for this long;
    /// 0: the default of the system.
    milliseconds unacked_timeout{0};
    seconds keepalive_idle{0}; ///< Idle time before keep-alive probes; 0: none.

    auto operator<=>(stream_options const&) const = default;
};

/// A TCP connection. A callback may close the stream but must not destroy it.
class tcp_stream
{
public:
    struct callbacks
    {
        std::function<void()> opened;
        std::function<void(std::string_view)> received;
        /// The socket became writable and the queue is empty. Not called by
        /// `write`, even if it writes everything at once.
        std::function<void()> drained;
        /// The connection ended; the last callback. Not called after a local
        /// `close` or `reset`.
        std::function<void(stream_end)> ended;
    };

    /// Connects to an IP address and port; failures are reported by `ended`.
    tcp_stream(loop_ref base, std::string const& address,
        stream_options const& options, callbacks f);

    /// Takes ownership of an accepted, non-blocking socket.
    tcp_stream(loop_ref base, int fd, callbacks f);

    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    auto operator=(tcp_stream const&) -> tcp_stream& = delete;

    /// Queues bytes and writes as many as the socket accepts at once.
    auto write(std::string_view bytes) -> void;

    /// Reads what has arrived, without waiting for the loop.
    auto read_now() -> void { on_readable(); }

    /// Closes the sending direction after the queued bytes; still receives.
    auto shut_down() -> void;

    /// Closes at once and drops the queued bytes; no callback follows.
    auto close() -> void;

    /// Closes at once and sends a TCP reset; no callback follows.
    auto reset() -> void;

    auto is_open() const -> bool { return fd_ >= 0; }
    auto unwritten() const -> std::size_t { return queued_.size() - written_; }

    /// True if any byte has been passed to the operating system.
    auto has_written() const -> bool { return sent_any_; }

private:
    static auto on_event(evutil_socket_t fd, short what, void* arg) -> void;
    auto enable_event(short what) -> void;
    auto on_readable() -> void;
    auto on_writable() -> void;
    auto finish_connect() -> bool;
    auto flush() -> void;
    auto end(stream_end how) -> void;

    loop_ref base_;
    callbacks callbacks_;
    int fd_ = -1;
    bool connecting_ = false;
    bool shutdown_requested_ = false;
    bool sent_any_ = false;
    event_ptr read_event_;
    event_ptr write_event_;
    std::string queued_;
    std::size_t written_ = 0; ///< Bytes of `queued_` already written.
    /// Reports an immediate connect failure from the loop instead of from the
    /// constructor.
    event_ptr fail_event_;
};

/// Listens on an address and passes accepted sockets to a callback, which owns
/// them.
class tcp_listener
{
public:
    using on_accept = std::function<void(int fd)>;

    tcp_listener(loop_ref base, on_accept f);
    ~tcp_listener();
    tcp_listener(tcp_listener const&) = delete;
    auto operator=(tcp_listener const&) -> tcp_listener& = delete;

    /// Starts to listen on an IP address and port; `listen_error` on failure.
    ///
    /// @param[in] used_for What the address serves, for the error message.
    auto start(std::string const& address, std::string const& used_for)
        -> leaf::result<void>;

private:
    auto accept_all() -> void;

    loop_ref base_;
    on_accept on_accept_;
    int fd_ = -1;
    std::unique_ptr<loop_event> event_;
};

} // namespace knapweedstream

#endif
