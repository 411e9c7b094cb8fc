/// Loopback proxy between two programs that injects faults into connections.
#ifndef KNAPWEEDSTREAM_SOAK_PROXY_HPP
#define KNAPWEEDSTREAM_SOAK_PROXY_HPP

#include "adapter/tcp_stream.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace soak
{

namespace ks = knapweedstream;

/// Faults of a link.
enum class link_fault : std::uint8_t
{
    none,
    slow,          ///< All bytes are delayed.
    drop_requests, ///< Bytes to the server are dropped.
    drop_replies,  ///< Bytes to the client are dropped.
    drop_all,      ///< All bytes are dropped; connections stay open.
    refuse,        ///< New connections are reset.
};

/// Forwards connections from one loopback port to another.
class proxy
{
public:
    proxy(event_base* base, std::uint16_t from, std::uint16_t to);
    ~proxy();
    proxy(proxy const&) = delete;
    auto operator=(proxy const&) -> proxy& = delete;

    /// Sets the fault of open and new connections.
    auto set(link_fault f) -> void { fault_ = f; }

    /// Drops all further bytes of the connections that are open now.
    auto drop_all_open() -> void;

    /// Resets all open connections.
    auto reset_open() -> void;

    auto open() const -> std::size_t { return pairs_.size(); }

private:
    struct pair;
    struct delayed_piece
    {
        ks::time_point due;
        std::uint64_t pair = 0;
        bool to_server = false;
        std::string bytes;
    };

    auto accept(int fd) -> void;
    auto forward_bytes(std::uint64_t id, bool to_server, std::string_view bytes)
        -> void;
    auto deliver(delayed_piece const& h) -> void;
    auto end(std::uint64_t id, bool by_server) -> void;
    auto deliver_due() -> void;

    event_base* base_;
    std::string to_;
    link_fault fault_ = link_fault::none;
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, std::unique_ptr<pair>> pairs_;
    std::vector<std::unique_ptr<pair>> closed_;
    std::deque<delayed_piece> delayed_pieces_;
    ks::loop_event timer_;
    ks::tcp_listener listener_;
};

} // namespace soak

#endif
