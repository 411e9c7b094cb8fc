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

/// Number and total size of the messages of one kind.
struct peer_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    auto operator<=>(peer_traffic const&) const = default;
};

/// Traffic by kind of message, in the order of the alternatives of `message`.
using peer_traffic_table =
    std::array<peer_traffic, std::variant_size_v<message>>;

/// Name of a kind of message by its index in `message`, for metrics.
auto message_name(std::size_t index) -> char const*;

/// Serializes a batch of messages and adds them to `traffic`.
auto encode_batch(instance_id from, std::vector<message> const& messages,
    peer_traffic_table& traffic) -> std::string;

/// Exchanges messages with the other instances. Delivery is not guaranteed.
class peer_link
{
public:
    peer_link(loop_ref base, instance_info const& self, event_sink sink);
    peer_link(peer_link const&) = delete;
    auto operator=(peer_link const&) -> peer_link& = delete;

    /// Starts to listen for other instances; `listen_error` on failure.
    auto start() -> leaf::result<void>;

    auto run(peer_dial const& c) -> void;
    auto run(peer_drop const& c) -> void;
    auto run(peer_send const& c) -> void;

    /// Messages handed over for sending, including those of dropped batches.
    auto sent() const -> peer_traffic_table const& { return sent_; }
    auto received_bytes() const -> std::uint64_t { return received_; }
    /// Number of batches that could not be queued for sending.
    auto dropped() const -> std::uint64_t { return dropped_; }

private:
    auto receive() -> void;

    loop_ref base_;
    instance_info self_;
    event_sink sink_;
    nng_socket receive_socket_ = NNG_SOCKET_INITIALIZER;
    std::unique_ptr<loop_event> readable_;
    std::unordered_map<instance_id, nng_socket> peer_sockets_;
    /// By address; never closed, since `nng_close` of nng 1.5 can block forever
    /// while a dialer reconnects.
    std::unordered_map<std::string, nng_socket> sockets_by_address_;
    peer_traffic_table sent_{};
    std::uint64_t received_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace knapweedstream

#endif
