#include "proxy.hpp"

#include <cstdlib>
#include <iostream>

namespace soak
{

namespace
{

constexpr auto slow_delay = ks::milliseconds{60}; ///< Of bytes on a slow link.

} // namespace

struct proxy::pair
{
    std::unique_ptr<ks::tcp_stream> client;
    std::unique_ptr<ks::tcp_stream> server;
    bool dropping = false;
};

proxy::proxy(event_base* base, std::uint16_t from, std::uint16_t to)
    : base_(base), to_("127.0.0.1:" + std::to_string(to)),
      timer_(base, [this] { deliver_due(); }),
      listener_(base, [this](int fd) { accept(fd); })
{
    auto const address = "127.0.0.1:" + std::to_string(from);
    ks::leaf::try_handle_all([&]() -> ks::leaf::result<void>
        { return listener_.start(address, "a proxy"); },
        [&]
        {
            std::cerr << "soak: cannot listen on port " << from << "\n";
            std::exit(1);
        });
}

proxy::~proxy() = default;

auto proxy::accept(int fd) -> void
{
    closed_.clear();
    auto const id = next_++;
    auto p = std::make_unique<pair>();
    p->client = std::make_unique<ks::tcp_stream>(base_, fd,
        ks::tcp_stream::callbacks{{},
            [this, id](std::string_view b) { forward_bytes(id, true, b); }, {},
            [this, id](ks::stream_end)
            {
                end(id, false);
            }});
    if (fault_ == link_fault::refuse)
        return p->client->reset();
    p->server = std::make_unique<ks::tcp_stream>(base_, to_,
        ks::stream_options{},
        ks::tcp_stream::callbacks{{},
            [this, id](std::string_view b) { forward_bytes(id, false, b); }, {},
            [this, id](ks::stream_end)
            {
                end(id, true);
            }});
    pairs_.emplace(id, std::move(p));
}

auto proxy::forward_bytes(
    std::uint64_t id, bool to_server, std::string_view bytes) -> void
{
    auto const it = pairs_.find(id);
    auto const is_dropped =
        fault_ == link_fault::drop_all ||
        (to_server && fault_ == link_fault::drop_requests) ||
        (!to_server && fault_ == link_fault::drop_replies);
    if (it == pairs_.end() || it->second->dropping || is_dropped)
        return;
    auto h = delayed_piece{ks::steady_now(), id, to_server, std::string{bytes}};
    if (fault_ != link_fault::slow && delayed_pieces_.empty())
        return deliver(h);
    h.due +=
        fault_ == link_fault::slow ? ks::duration{slow_delay} : ks::duration{0};
    delayed_pieces_.push_back(std::move(h));
    timer_.after(delayed_pieces_.front().due - ks::steady_now());
}

auto proxy::deliver(delayed_piece const& h) -> void
{
    auto const it = pairs_.find(h.pair);
    if (it != pairs_.end())
        (h.to_server ? it->second->server : it->second->client)->write(h.bytes);
}

auto proxy::deliver_due() -> void
{
    while (!delayed_pieces_.empty() &&
           delayed_pieces_.front().due <= ks::steady_now())
    {
        auto const h = std::move(delayed_pieces_.front());
        delayed_pieces_.pop_front();
        deliver(h);
    }
    if (!delayed_pieces_.empty())
        timer_.after(delayed_pieces_.front().due - ks::steady_now());
}

auto proxy::end(std::uint64_t id, bool by_server) -> void
{
    auto const it = pairs_.find(id);
    if (it == pairs_.end())
        return;
    auto p = std::move(it->second);
    pairs_.erase(it);
    // A link that drops all bytes does not shut down the other side first.
    auto const notify_peer = !p->dropping && fault_ != link_fault::drop_all;
    if (notify_peer)
        (by_server ? p->client : p->server)->shut_down();
    p->client->close();
    p->server->close();
    closed_.push_back(std::move(p));
}

auto proxy::drop_all_open() -> void
{
    for (auto& [id, p] : pairs_)
        p->dropping = true;
}

auto proxy::reset_open() -> void
{
    for (auto& [id, p] : pairs_)
    {
        p->client->reset();
        p->server->reset();
        closed_.push_back(std::move(p));
    }
    pairs_.clear();
}

} // namespace soak
