#include "adapter/tcp_stream.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace knapweedstream
{

namespace
{

constexpr auto read_bytes = std::size_t{64} << 10;
/// Limits how long one connection can keep the others waiting.
constexpr auto max_reads_per_event = 4;
constexpr auto backlog = 1024;
constexpr auto keepalive_interval_s = 1;
constexpr auto keepalive_probes = 2;

auto set_option(int fd, int level, int name, int value) -> void
{
    setsockopt(fd, level, name, &value, sizeof value);
}

auto to_sockaddr(std::string const& address) -> sockaddr_in
{
    auto const at = split_address(address);
    auto a = sockaddr_in{};
    a.sin_family = AF_INET;
    a.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &a.sin_addr);
    return a;
}

auto apply_options(int fd, stream_options const& o) -> void
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    if (o.unacked_timeout.count() > 0)
        set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(o.unacked_timeout.count()));
    if (o.keepalive_idle.count() == 0)
        return;
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE,
        static_cast<int>(o.keepalive_idle.count()));
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

auto would_block() -> bool
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

auto read_buffer() -> std::array<char, read_bytes>&
{
    static auto buf = std::array<char, read_bytes>{};
    return buf;
}

} // namespace

tcp_stream::tcp_stream(loop_ref base, std::string const& address,
    stream_options const& options, callbacks f)
    : base_(base), callbacks_(std::move(f)),
      fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      connecting_(true)
{
    auto const to = to_sockaddr(address);
    if (fd_ >= 0)
        apply_options(fd_, options);
    auto const connect_status =
        fd_ < 0
            ? -1
            : connect(fd_, reinterpret_cast<sockaddr const*>(&to), sizeof to);
    if (fd_ >= 0 && (connect_status == 0 || errno == EINPROGRESS))
    {
        enable_event(EV_WRITE);
        return;
    }
    auto const report_refused = [](evutil_socket_t, short, void* arg)
    {
        static_cast<tcp_stream*>(arg)->end(stream_end::refused);
    };
    fail_event_ = event_ptr{event_new(base_, -1, 0, report_refused, this)};
    event_active(fail_event_.get(), 0, 0);
}

tcp_stream::tcp_stream(loop_ref base, int fd, callbacks f)
    : base_(base), callbacks_(std::move(f)), fd_(fd)
{
    apply_options(fd_, {});
    enable_event(EV_READ);
}

tcp_stream::~tcp_stream()
{
    close();
}

auto tcp_stream::enable_event(short what) -> void
{
    auto& it = what == EV_READ ? read_event_ : write_event_;
    auto const kind =
        static_cast<short>(what == EV_READ ? EV_READ | EV_PERSIST : EV_WRITE);
    if (it == nullptr)
        it = event_ptr{event_new(base_, fd_, kind, on_event, this)};
    event_add(it.get(), nullptr);
}

auto tcp_stream::on_event(evutil_socket_t, short what, void* arg) -> void
{
    auto* self = static_cast<tcp_stream*>(arg);
    enter_turn(self->base_);
    if ((what & EV_READ) != 0)
        self->on_readable();
    else
        self->on_writable();
}

auto tcp_stream::on_readable() -> void
{
    auto& buf = read_buffer();
    for (auto i = 0; i < max_reads_per_event && is_open(); ++i)
    {
        auto const n = recv(fd_, buf.data(), buf.size(), 0);
        if (n == 0)
            return end(stream_end::closed);
        if (n < 0)
            return would_block() ? void() : end(stream_end::reset);
        callbacks_.received({buf.data(), static_cast<std::size_t>(n)});
        if (static_cast<std::size_t>(n) < buf.size())
            return;
    }
}

auto tcp_stream::finish_connect() -> bool
{
    auto error = 0;
    auto size = socklen_t{sizeof error};
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        end(stream_end::refused);
    else
    {
        connecting_ = false;
        enable_event(EV_READ);
        if (callbacks_.opened)
            callbacks_.opened();
    }
    return error == 0 && is_open();
}

auto tcp_stream::on_writable() -> void
{
    if (connecting_ && !finish_connect())
        return;
    flush();
    if (is_open() && unwritten() == 0 && callbacks_.drained)
        callbacks_.drained();
}

auto tcp_stream::write(std::string_view bytes) -> void
{
    if (!is_open() || bytes.empty())
        return;
    auto const idle = unwritten() == 0;
    queued_.append(bytes);
    if (idle && !connecting_)
        flush();
}

auto tcp_stream::flush() -> void
{
    while (is_open() && unwritten() > 0)
    {
        auto const n =
            send(fd_, queued_.data() + written_, unwritten(), MSG_NOSIGNAL);
        if (n < 0 && !would_block())
            return; // The read event reports how the connection ended.
        if (n < 0)
            return enable_event(EV_WRITE);
        sent_any_ = true;
        written_ += static_cast<std::size_t>(n);
    }
    queued_.clear();
    written_ = 0;
    if (shutdown_requested_ && is_open())
        shutdown(fd_, SHUT_WR);
}

auto tcp_stream::shut_down() -> void
{
    shutdown_requested_ = true;
    if (is_open() && unwritten() == 0)
        shutdown(fd_, SHUT_WR);
}

auto tcp_stream::end(stream_end how) -> void
{
    close();
    if (callbacks_.ended)
        callbacks_.ended(how);
}

auto tcp_stream::close() -> void
{
    read_event_.reset();
    write_event_.reset();
    if (fd_ >= 0)
        ::close(fd_);
    fd_ = -1;
}

auto tcp_stream::reset() -> void
{
    auto const zero_linger = linger{1, 0};
    if (fd_ >= 0)
        setsockopt(
            fd_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    close();
}

tcp_listener::tcp_listener(loop_ref base, on_accept f)
    : base_(base), on_accept_(std::move(f))
{
}

tcp_listener::~tcp_listener()
{
    event_.reset();
    if (fd_ >= 0)
        ::close(fd_);
}

auto tcp_listener::start(std::string const& address,
    std::string const& used_for) -> leaf::result<void>
{
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    auto const at = to_sockaddr(address);
    auto const* raw = reinterpret_cast<sockaddr const*>(&at);
    if (bind(fd_, raw, sizeof at) != 0 || listen(fd_, backlog) != 0)
        return leaf::new_error(listen_error{address, used_for});
    event_ = std::make_unique<loop_event>(
        base_, fd_, EV_READ, [this] { accept_all(); });
    return {};
}

auto tcp_listener::accept_all() -> void
{
    for (;;)
    {
        auto const fd =
            accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        on_accept_(fd);
    }
}

} // namespace knapweedstream
