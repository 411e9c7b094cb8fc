#include "adapter/http_client.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto max_reply_bytes = ev_ssize_t{8} << 20;
constexpr auto max_header_bytes = ev_ssize_t{64} << 10;

} // namespace

struct http_connection::pending
{
    http_connection* owner;
    on_reply f;
};

auto http_reply::status() const -> std::uint32_t
{
    return raw_ == nullptr ? 0
                           : static_cast<std::uint32_t>(
                                 evhttp_request_get_response_code(raw_));
}

auto http_reply::field(char const* name) const -> std::string_view
{
    if (raw_ == nullptr)
        return {};
    auto const* v =
        evhttp_find_header(evhttp_request_get_input_headers(raw_), name);
    return v == nullptr ? std::string_view{} : std::string_view{v};
}

auto http_reply::body() const -> std::string_view
{
    if (raw_ == nullptr)
        return {};
    auto* buf = evhttp_request_get_input_buffer(raw_);
    auto const n = evbuffer_get_length(buf);
    auto const* data = evbuffer_pullup(buf, -1);
    return n == 0 ? std::string_view{}
                  : std::string_view{reinterpret_cast<char const*>(data), n};
}

http_connection::http_connection(event_base* base, std::string const& address,
    duration timeout, on_close closed)
    : on_close_(std::move(closed))
{
    auto const to = split_address(address);
    host_ = address;
    raw_ = evhttp_connection_base_new(base, nullptr, to.host.c_str(), to.port);
    auto const us = timeout.count();
    auto const tv = timeval{us / 1'000'000, us % 1'000'000};
    evhttp_connection_set_timeout_tv(raw_, &tv);
    evhttp_connection_set_max_body_size(raw_, max_reply_bytes);
    evhttp_connection_set_max_headers_size(raw_, max_header_bytes);
    if (on_close_)
        evhttp_connection_set_closecb(raw_, on_closed, this);
}

http_connection::~http_connection()
{
    on_close_ = {};
    for (auto const& it : pending_)
        it->owner = nullptr;
    auto const kept_alive = std::move(pending_);
    evhttp_connection_free(raw_);
}

auto http_connection::on_closed(evhttp_connection*, void* arg) -> void
{
    auto* self = static_cast<http_connection*>(arg);
    if (self->on_close_ && self->pending_.empty())
        self->on_close_();
}

auto http_connection::on_done(evhttp_request* raw, void* arg) -> void
{
    auto* p = static_cast<pending*>(arg);
    auto* self = p->owner;
    if (self == nullptr)
        return;
    auto const it = std::find_if(self->pending_.begin(), self->pending_.end(),
        [&](auto const& q) { return q.get() == p; });
    auto const request = std::move(*it);
    self->pending_.erase(it);
    request->f(http_reply{raw});
}

auto http_connection::send(http_request const& r, on_reply f) -> void
{
    auto p = std::make_unique<pending>(pending{this, std::move(f)});
    auto* raw = evhttp_request_new(on_done, p.get());
    auto* fields = evhttp_request_get_output_headers(raw);
    evhttp_add_header(fields, "Host", host_.c_str());
    for (auto const& it : r.fields)
        evhttp_add_header(
            fields, std::string(it.name).c_str(), it.value.c_str());
    if (!r.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(raw), r.body.data(),
            r.body.size());
    pending_.push_back(std::move(p));
    evhttp_make_request(raw_, raw, r.method, r.path.c_str());
}

} // namespace knapweedstream
