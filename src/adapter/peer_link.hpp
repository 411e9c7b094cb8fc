/// Messages between instances over nng push and pull sockets.
#ifndef KNAPWEEDSTREAM_ADAPTER_PEER_LINK_HPP
#define KNAPWEEDSTREAM_ADAPTER_PEER_LINK_HPP

#include "adapter/error.hpp"
#include "adapter/leaf_client.hpp"

#include <nng/nng.h>

#include <array>
#include <unordered_map>

namespace knapweedstream
{

/// Messages and bytes of one kind of message.
struct peer_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    auto operator<=>(peer_traffic const&) const = default;
};

/// Traffic by kind of message, in the order of `message`.
using peer_traffic_table =
    std::array<peer_traffic, std::variant_size_v<message>>;

/// Name of a kind of message, for metrics.
auto message_name(std::size_t index) -> char const*;

/// Text of a batch.
auto encode_batch(instance_id from, std::vector<message> const& messages,
    peer_traffic_table& traffic) -> std::string;

/// Carries out commands that concern other instances.
class peer_link
{
public:
    peer_link(event_base* base, instance_info const& self, event_sink sink);
    peer_link(peer_link const&) = delete;
    auto operator=(peer_link const&) -> peer_link& = delete;

    /// Listens for peers.
    auto start() -> leaf::result<void>;

    auto run(peer_dial const& c) -> void;
    auto run(peer_drop const& c) -> void;
    auto run(peer_send const& c) -> void;

    auto sent() const -> peer_traffic_table const& { return sent_; }
    auto received_bytes() const -> std::uint64_t { return received_; }
    auto dropped() const -> std::uint64_t { return dropped_; }

private:
    auto receive() -> void;

    event_base* base_;
    instance_info self_;
    event_sink sink_;
    nng_socket receive_socket_ = NNG_SOCKET_INITIALIZER;
    std::unique_ptr<loop_event> readable_;
    std::unordered_map<instance_id, nng_socket> peer_sockets_;
    /// By address; never closed, since `nng_close` of nng 1.5 may wait for
    /// ever while a dialer reconnects.
    std::unordered_map<std::string, nng_socket> sockets_by_address_;
    peer_traffic_table sent_{};
    std::uint64_t received_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace knapweedstream

#endif
