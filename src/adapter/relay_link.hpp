/// Exchange of the store's changes between instances, over HTTP: questions to
/// relays, and the server that takes the questions of others.
#ifndef KNAPWEEDSTREAM_ADAPTER_RELAY_LINK_HPP
#define KNAPWEEDSTREAM_ADAPTER_RELAY_LINK_HPP

#include "adapter/call_channel.hpp"
#include "adapter/target_links.hpp"

#include <event2/http.h>

#include <map>

namespace knapweedstream
{

/// Asks relays, over one kept connection each.
class relay_client
{
public:
    relay_client(loop_ref base, dispatch_sink sink);

    auto run(dispatch::ask_relay const& c) -> void;

    /// Frees closed connections; must not be called from the callback of one.
    auto free_closed() -> void;

private:
    loop_ref base_;
    dispatch_sink sink_;
    std::map<std::string, call_channel> channels_; ///< By address.
};

/// Takes questions and holds each until the dispatcher answers it.
class relay_server
{
public:
    relay_server(loop_ref base, dispatch_sink sink);

    /// Starts to listen on an IP address and port; `listen_error` on failure.
    auto start(std::string const& address) -> leaf::result<void>;

    auto run(dispatch::answer_relay const& c) -> void;

private:
    struct deleter
    {
        auto operator()(evhttp* it) const -> void { evhttp_free(it); }
    };

    static auto on_request(evhttp_request* r, void* arg) -> void;
    static auto on_closed(evhttp_connection* c, void* arg) -> void;
    auto take(evhttp_request* r) -> void;

    dispatch_sink sink_;
    std::uint64_t next_id_ = 1;
    std::map<dispatch::relay_caller_id, evhttp_request*> pending_;
    std::unique_ptr<evhttp, deleter> http_;
};

/// Decodes a question; `decode_error` if it is malformed or names an unknown
/// kind of objects.
auto parse_relay_request(std::string_view text)
    -> leaf::result<dispatch::relay_request>;

/// Decodes an answer; `decode_error` if it is malformed or names an unknown
/// kind of objects.
auto parse_relay_reply(std::string_view text)
    -> leaf::result<dispatch::relay_reply>;

} // namespace knapweedstream

#endif
