#include "proxy.hpp"

#include <cstdlib>
#include <iostream>

namespace soak
{

namespace
{

constexpr auto hold_up = ks::milliseconds{60}; ///< Of a slow link's pieces.

} // namespace

struct proxy::pair
{
    std::unique_ptr<ks::tcp_stream> client;
    std::unique_ptr<ks::tcp_stream> server;
    bool silent = false;
};

proxy::proxy(event_base* base, std::uint16_t from, std::uint16_t to)
    : base_(base), to_("127.0.0.1:" + std::to_string(to)),
      timer_(base, [this] { release(); }),
      listener_(base, [this](int fd) { accept(fd); })
{
    auto const address = "127.0.0.1:" + std::to_string(from);
    ks::leaf::try_handle_all([&]() -> ks::leaf::result<void>
        { return listener_.start(address, "a proxy"); },
        [&]
        {
            std::cerr << "soak: port " << from << " is taken\n";
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
            [this, id](std::string_view b) { pass(id, true, b); }, {},
            [this, id](ks::stream_end)
            {
                end(id, false);
            }});
    if (fault_ == link_fault::refuse)
        return p->client->reset();
    p->server =
        std::make_unique<ks::tcp_stream>(base_, to_, ks::stream_options{},
            ks::tcp_stream::callbacks{{},
                [this, id](std::string_view b) { pass(id, false, b); }, {},
                [this, id](ks::stream_end)
                {
                    end(id, true);
                }});
    pairs_.emplace(id, std::move(p));
}

auto proxy::pass(std::uint64_t id, bool to_server, std::string_view bytes)
    -> void
{
    auto const it = pairs_.find(id);
    auto const lost = fault_ == link_fault::silent ||
                      (to_server && fault_ == link_fault::cut_requests) ||
                      (!to_server && fault_ == link_fault::cut_replies);
    if (it == pairs_.end() || it->second->silent || lost)
        return;
    auto h = held{ks::steady_now(), id, to_server, std::string{bytes}};
    if (fault_ != link_fault::slow && held_.empty())
        return deliver(h);
    h.due +=
        fault_ == link_fault::slow ? ks::duration{hold_up} : ks::duration{0};
    held_.push_back(std::move(h));
    timer_.after(held_.front().due - ks::steady_now());
}

auto proxy::deliver(held const& h) -> void
{
    auto const it = pairs_.find(h.pair);
    if (it != pairs_.end())
        (h.to_server ? it->second->server : it->second->client)->write(h.bytes);
}

auto proxy::release() -> void
{
    while (!held_.empty() && held_.front().due <= ks::steady_now())
    {
        auto const h = std::move(held_.front());
        held_.pop_front();
        deliver(h);
    }
    if (!held_.empty())
        timer_.after(held_.front().due - ks::steady_now());
}

auto proxy::end(std::uint64_t id, bool by_server) -> void
{
    auto const it = pairs_.find(id);
    if (it == pairs_.end())
        return;
    auto p = std::move(it->second);
    pairs_.erase(it);
    // A silent or cut link does not tell the other side.
    auto const tells = !p->silent && fault_ != link_fault::silent;
    if (tells)
        (by_server ? p->client : p->server)->shut_down();
    p->client->close();
    p->server->close();
    closed_.push_back(std::move(p));
}

auto proxy::silence_open() -> void
{
    for (auto& [id, p] : pairs_)
        p->silent = true;
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
