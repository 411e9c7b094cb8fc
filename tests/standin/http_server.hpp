/// Minimal HTTP server over evhttp, for the stand-ins.
#ifndef KNAPWEEDSTREAM_STANDIN_HTTP_SERVER_HPP
#define KNAPWEEDSTREAM_STANDIN_HTTP_SERVER_HPP

#include "adapter/event_loop.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace standin
{

namespace ks = knapweedstream;

/// A received request; stays open until `reply`.
struct request
{
    evhttp_request* raw = nullptr;

    auto path() const -> std::string
    {
        auto const* uri = evhttp_request_get_evhttp_uri(raw);
        auto const* p = evhttp_uri_get_path(uri);
        return p == nullptr ? std::string{} : std::string{p};
    }

    auto method() const -> evhttp_cmd_type
    {
        return evhttp_request_get_command(raw);
    }

    auto field(char const* name) const -> std::string
    {
        auto const* v =
            evhttp_find_header(evhttp_request_get_input_headers(raw), name);
        return v == nullptr ? std::string{} : std::string{v};
    }

    auto query_param(char const* name) const -> std::string
    {
        auto const* uri = evhttp_request_get_evhttp_uri(raw);
        auto const* q = evhttp_uri_get_query(uri);
        auto list = evkeyvalq{};
        if (q == nullptr || evhttp_parse_query_str(q, &list) != 0)
            return {};
        auto const* v = evhttp_find_header(&list, name);
        auto const text = v == nullptr ? std::string{} : std::string{v};
        evhttp_clear_headers(&list);
        return text;
    }

    auto body() const -> std::string
    {
        auto* buf = evhttp_request_get_input_buffer(raw);
        auto const n = evbuffer_get_length(buf);
        auto const* data = evbuffer_pullup(buf, -1);
        return n == 0 ? std::string{}
                      : std::string{reinterpret_cast<char const*>(data), n};
    }

    auto connection() const -> evhttp_connection*
    {
        return evhttp_request_get_connection(raw);
    }

    auto add_header(char const* name, std::string const& value) const -> void
    {
        evhttp_add_header(
            evhttp_request_get_output_headers(raw), name, value.c_str());
    }

    auto reply(int status, std::string const& body) const -> void
    {
        auto* buf = evbuffer_new();
        evbuffer_add(buf, body.data(), body.size());
        evhttp_send_reply(raw, status, nullptr, buf);
        evbuffer_free(buf);
    }
};

/// Parses the number at the start of a text; `fallback` if there is none.
template <class T>
auto parse_number(std::string const& text, T fallback) -> T
{
    auto v = T{};
    auto const r = std::from_chars(text.data(), text.data() + text.size(), v);
    return r.ec == std::errc{} ? v : fallback;
}

/// Listens on a loopback port until destroyed, which closes all connections.
class http_server
{
public:
    using handler = std::function<void(request)>;

    http_server(event_base* base, std::uint16_t port, handler f)
        : handler_(std::move(f)), http_(evhttp_new(base))
    {
        evhttp_set_gencb(http_, on_request, this);
        if (evhttp_bind_socket(http_, "127.0.0.1", port) != 0)
        {
            std::cerr << "standin: cannot listen on port " << port
                      << ", is it in use?\n";
            std::exit(1);
        }
    }

    ~http_server() { evhttp_free(http_); }

    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;

private:
    static auto on_request(evhttp_request* raw, void* arg) -> void
    {
        static_cast<http_server*>(arg)->handler_(request{raw});
    }

    handler handler_;
    evhttp* http_;
};

} // namespace standin

#endif
