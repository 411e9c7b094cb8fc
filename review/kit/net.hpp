/// Blocking HTTP/1.1 over loopback for the stand-ins of the review's scripts.
#ifndef REVIEW_KIT_NET_HPP
#define REVIEW_KIT_NET_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto start_time() -> clock_type::time_point
{
    static auto const at = clock_type::now();
    return at;
}

/// Milliseconds since the first call of `start_time`.
inline auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
        clock_type::now() - start_time())
        .count();
}

inline auto sleep_ms(std::int64_t n) -> void
{
    if (n > 0)
        std::this_thread::sleep_for(milliseconds{n});
}

inline auto sleep_until_ms(std::int64_t at) -> void
{
    sleep_ms(at - now_ms());
}

struct http_text
{
    std::string first; ///< Request or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    auto field(std::string_view name) const -> std::string
    {
        for (auto const& [key, value] : fields)
            if (key.size() == name.size() &&
                strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        return {};
    }

    auto method() const -> std::string
    {
        return first.substr(0, first.find(' '));
    }

    auto target() const -> std::string
    {
        auto const at = first.find(' ') + 1;
        return first.substr(at, first.find(' ', at) - at);
    }

    auto status() const -> int
    {
        return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
    }
};

/// A connected socket with a read buffer.
class stream
{
public:
    explicit stream(int fd) : fd_(fd) {}
    stream(stream const&) = delete;
    auto operator=(stream const&) -> stream& = delete;
    ~stream() { ::close(fd_); }

    auto send_all(std::string_view text) -> bool
    {
        while (!text.empty())
        {
            auto const n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads the next message. Empty if the connection ends before it does.
    auto read() -> std::optional<http_text>
    {
        auto end = std::string::npos;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos)
            if (!fill())
                return std::nullopt;
        auto m = http_text{};
        auto at = buf_.find("\r\n");
        m.first = buf_.substr(0, at);
        while (at < end)
        {
            auto const from = at + 2;
            at = buf_.find("\r\n", from);
            auto const line = buf_.substr(from, at - from);
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto const text = line.find_first_not_of(' ', colon + 1);
            m.fields.emplace_back(line.substr(0, colon),
                text == std::string::npos ? "" : line.substr(text));
        }
        auto const length =
            std::strtoul(m.field("Content-Length").c_str(), nullptr, 10);
        auto const total = end + 4 + length;
        while (buf_.size() < total)
            if (!fill())
                return std::nullopt;
        m.body = buf_.substr(end + 4, length);
        buf_.erase(0, total);
        return m;
    }

    /// True if the peer has closed the connection.
    auto is_closed() const -> bool
    {
        auto p = pollfd{fd_, POLLIN, 0};
        char c = 0;
        return ::poll(&p, 1, 0) > 0 &&
               ::recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    auto abort() -> void { ::shutdown(fd_, SHUT_RDWR); }
    auto fd() const -> int { return fd_; }
    auto buffered() const -> std::size_t { return buf_.size(); }

private:
    auto fill() -> bool
    {
        char bytes[16384];
        auto const n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buf_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buf_;
};

inline auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto a = sockaddr_in{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

/// Listens on a loopback port; 0 picks a free one. Returns -1 on failure.
inline auto listen_on(std::uint16_t port) -> int
{
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const a = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&a), sizeof a) != 0 ||
        ::listen(fd, 256) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline auto port_of(int fd) -> std::uint16_t
{
    auto a = sockaddr_in{};
    auto n = socklen_t{sizeof a};
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    return ntohs(a.sin_port);
}

inline auto free_port() -> std::uint16_t
{
    auto const fd = listen_on(0);
    auto const port = port_of(fd);
    ::close(fd);
    return port;
}

/// Connects to a loopback port. Returns -1 on failure.
inline auto connect_to(std::uint16_t port, int receive_buffer = 0) -> int
{
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        ::setsockopt(
            fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    auto const a = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&a), sizeof a) == 0)
        return fd;
    ::close(fd);
    return -1;
}

/// Serves each connection on a thread of its own until it is stopped. A
/// stopped server closes its port and its connections.
class server
{
public:
    using handler = std::function<void(stream&)>;

    server(std::uint16_t port, handler f)
        : fd_(listen_on(port)), port_(fd_ < 0 ? 0 : port_of(fd_)),
          handle_(std::move(f)), accepting_([this] { accept_all(); })
    {
    }

    server(server const&) = delete;
    auto operator=(server const&) -> server& = delete;
    ~server() { stop(); }

    auto stop() -> void
    {
        if (stopped_.exchange(true))
            return;
        ::shutdown(fd_, SHUT_RDWR);
        accepting_.join();
        ::close(fd_);
        {
            auto const lock = std::lock_guard{mutex_};
            for (auto* it : open_)
                it->abort();
        }
        for (auto& it : threads_)
            it.join();
    }

    auto port() const -> std::uint16_t { return port_; }
    auto is_stopped() const -> bool { return stopped_; }

private:
    auto accept_all() -> void
    {
        while (!stopped_)
        {
            auto const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            auto const on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    auto serve(int fd) -> void
    {
        auto s = stream{fd};
        {
            auto const lock = std::lock_guard{mutex_};
            open_.insert(&s);
        }
        if (!stopped_)
            handle_(s);
        auto const lock = std::lock_guard{mutex_};
        open_.erase(&s);
    }

    int fd_;
    std::uint16_t port_;
    handler handle_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::set<stream*> open_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

} // namespace review

#endif
