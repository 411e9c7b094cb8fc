/// HTTP server on plain TCP streams, for stand-ins that send malformed replies
/// or reset connections.
#ifndef KNAPWEEDSTREAM_STANDIN_WIRE_SERVER_HPP
#define KNAPWEEDSTREAM_STANDIN_WIRE_SERVER_HPP

#include "adapter/http_reader.hpp"
#include "adapter/tcp_stream.hpp"
#include "uri.hpp"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin
{

namespace ks = knapweedstream;

/// Identifies a connection that the server accepted.
using client_id = std::uint64_t;

/// Listens on a loopback port until destroyed, which closes all connections.
class wire_server
{
public:
    struct callbacks
    {
        std::function<void(client_id, ks::http_message)> received;
        std::function<void(client_id)> ended;
        std::function<bool(client_id)> accepted; ///< Optional; false resets.
    };

    wire_server(event_base* base, std::uint16_t port, callbacks f)
        : base_(base), callbacks_(std::move(f)),
          listener_(base, [this](int fd) { accept(fd); })
    {
        auto const address = "127.0.0.1:" + std::to_string(port);
        ks::leaf::try_handle_all([&]() -> ks::leaf::result<void>
            { return listener_.start(address, "a stand-in"); },
            [&]
            {
                std::cerr << "standin: cannot listen on port " << port
                          << ", is it in use?\n";
                std::exit(1);
            });
    }

    auto write(client_id id, std::string const& text) -> void
    {
        if (auto const it = clients_.find(id); it != clients_.end())
            it->second->stream.write(text);
    }

    auto reply(client_id id, ks::http_message const& m) -> void
    {
        write(id, ks::response_text(m));
    }

    /// Sends the queued bytes, then shuts down the stream.
    auto shut_down(client_id id) -> void
    {
        if (auto const it = clients_.find(id); it != clients_.end())
            it->second->stream.shut_down();
    }

    auto reset(client_id id) -> void
    {
        auto const it = clients_.find(id);
        if (it == clients_.end())
            return;
        it->second->stream.reset();
        closed_.push_back(std::move(it->second));
        clients_.erase(it);
    }

    auto open_connections() const -> std::size_t { return clients_.size(); }

    /// Frees closed connections. Must not be called from a callback of one.
    auto free_closed() -> void { closed_.clear(); }

private:
    struct client
    {
        client(event_base* base, int fd, ks::tcp_stream::callbacks f)
            : reader(ks::message_kind::request, {}),
              stream(base, fd, std::move(f))
        {
        }
        ks::http_reader reader;
        ks::tcp_stream stream;
        std::string pending;
    };

    auto accept(int fd) -> void
    {
        free_closed();
        auto const id = next_++;
        auto p = std::make_unique<client>(base_, fd,
            ks::tcp_stream::callbacks{{},
                [this, id](std::string_view bytes) { on_bytes(id, bytes); }, {},
                [this, id](ks::stream_end)
                {
                    on_end(id);
                }});
        clients_.emplace(id, std::move(p));
        if (callbacks_.accepted && !callbacks_.accepted(id))
            reset(id);
    }

    auto on_bytes(client_id id, std::string_view bytes) -> void
    {
        auto it = clients_.find(id);
        if (it == clients_.end())
            return;
        it->second->pending.append(bytes);
        while (it != clients_.end() && !it->second->pending.empty())
        {
            auto& p = *it->second;
            p.pending.erase(0, p.reader.feed(p.pending));
            if (p.reader.error())
                return reset(id);
            if (!p.reader.is_complete())
                return;
            callbacks_.received(id, p.reader.take());
            it = clients_.find(id);
        }
    }

    auto on_end(client_id id) -> void
    {
        auto const it = clients_.find(id);
        if (it == clients_.end())
            return;
        closed_.push_back(std::move(it->second));
        clients_.erase(it);
        if (callbacks_.ended)
            callbacks_.ended(id);
    }

    event_base* base_;
    callbacks callbacks_;
    ks::tcp_listener listener_;
    client_id next_ = 1;
    std::unordered_map<client_id, std::unique_ptr<client>> clients_;
    std::vector<std::unique_ptr<client>> closed_;
};

/// Value of a query parameter in a request target such as `/a?x=1&y=2`; empty
/// if absent. A fragment (`#z`) is not part of the query.
inline auto query_param(
    std::string const& request_target, std::string const& key) -> std::string
{
    auto const target = request_target.substr(0, request_target.find('#'));
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        auto const from = at + 1;
        at = target.find('&', from);
        auto const pair = target.substr(from, at - from);
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == key && equals != std::string::npos)
            return unescaped(pair.substr(equals + 1), true);
    }
    return {};
}

} // namespace standin

#endif
