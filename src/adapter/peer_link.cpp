#include "adapter/peer_link.hpp"

#include "adapter/log.hpp"
#include "adapter/value_codec.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace knapweedstream
{

namespace
{

constexpr auto send_queue_batches = 256;
constexpr auto min_reconnect_ms = 50;
constexpr auto max_reconnect_ms = 500;
constexpr auto max_batch_bytes = std::size_t{16} << 20;

struct batch
{
    instance_id from;
    std::vector<message> messages;
};

} // namespace

auto message_name(std::size_t index) -> char const*
{
    static constexpr auto names = std::array{"sub_query", "sub_answer",
        "sub_cancel", "heartbeat", "shard_views", "target_warmth",
        "deadly_notice", "booking_forward", "booking_result", "config_update",
        "config_request", "peer_suspicion", "rollout_update", "version_fault",
        "views_request", "version_outcomes"};
    static_assert(names.size() == std::variant_size_v<message>);
    return names[index];
}

auto encode_batch(instance_id from, std::vector<message> const& messages,
    peer_traffic_table& traffic) -> std::string
{
    auto text = "[" + encode(from) + ",[";
    for (auto const& it : messages)
    {
        auto const before = text.size();
        text += before > 0 && text.back() != '[' ? "," : "";
        text += encode(it);
        auto& t = traffic[it.index()];
        t = {t.messages + 1, t.bytes + text.size() - before};
    }
    return text + "]]";
}

peer_link::peer_link(loop_ref base, instance_info const& self, event_sink sink)
    : base_(base), self_(self), sink_(std::move(sink))
{
}

auto peer_link::start() -> leaf::result<void>
{
    auto fd = 0;
    auto const url = "tcp://" + self_.peer_address;
    if (nng_pull0_open(&receive_socket_) != 0 ||
        nng_socket_set_size(
            receive_socket_, NNG_OPT_RECVMAXSZ, max_batch_bytes) != 0 ||
        nng_listen(receive_socket_, url.c_str(), nullptr, 0) != 0 ||
        nng_socket_get_int(receive_socket_, NNG_OPT_RECVFD, &fd) != 0)
        return leaf::new_error(listen_error{self_.peer_address, "peers"});
    readable_ =
        std::make_unique<loop_event>(base_, fd, EV_READ, [this] { receive(); });
    return {};
}

auto peer_link::run(peer_dial const& c) -> void
{
    auto const known = sockets_by_address_.find(c.address);
    if (known != sockets_by_address_.end())
    {
        peer_sockets_.insert_or_assign(c.peer, known->second);
        return;
    }
    auto socket = nng_socket{};
    if (nng_push0_open(&socket) != 0)
        return;
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_queue_batches);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, min_reconnect_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, max_reconnect_ms);
    auto const url = "tcp://" + c.address;
    nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    sockets_by_address_.emplace(c.address, socket);
    peer_sockets_.insert_or_assign(c.peer, socket);
}

auto peer_link::run(peer_drop const& c) -> void
{
    peer_sockets_.erase(c.peer);
}

auto peer_link::run(peer_send const& c) -> void
{
    auto const it = peer_sockets_.find(c.to);
    if (it == peer_sockets_.end())
        return;
    auto const self = id_of<instance_id>(self_.name);
    auto text = encode_batch(self, c.messages, sent_);
    auto const failed =
        nng_send(it->second, text.data(), text.size(), NNG_FLAG_NONBLOCK);
    dropped_ += failed != 0 ? 1 : 0;
}

auto peer_link::receive() -> void
{
    constexpr auto max_batches_per_event = 64;
    for (auto i = 0; i < max_batches_per_event; ++i)
    {
        auto* raw = static_cast<nng_msg*>(nullptr);
        if (nng_recvmsg(receive_socket_, &raw, NNG_FLAG_NONBLOCK) != 0)
            return;
        auto const n = nng_msg_len(raw);
        auto const text =
            std::string_view{static_cast<char*>(nng_msg_body(raw)), n};
        received_ += n;
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(b, decode<batch>(text, "peer batch"));
                sink_(peer_received{b.from, std::move(b.messages)});
                return {};
            },
            [] {
                log(log_level::error, "peer",
                    "Cannot decode a batch of messages.");
            });
        nng_msg_free(raw);
    }
}

} // namespace knapweedstream
