#include "adapter/http_client.hpp"

#include <utility>

namespace knapweedstream
{

namespace
{

constexpr auto max_reply_bytes = std::size_t{8} << 20;
constexpr auto max_header_bytes = std::size_t{64} << 10;

auto method_name(evhttp_cmd_type method) -> char const*
{
    switch (method)
    {
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    default:
        return "GET";
    }
}

auto text_of(http_request const& r, std::string const& address) -> std::string
{
    auto m = http_message{};
    m.method = method_name(r.method);
    m.target = r.path;
    m.fields.push_back({"Host", address});
    for (auto const& it : r.fields)
        m.fields.push_back({std::string{it.name}, it.value});
    m.body = r.body;
    return request_text(m);
}

} // namespace

auto http_reply::status() const -> std::uint32_t
{
    return message_ == nullptr ? 0 : message_->status;
}

auto http_reply::field(char const* name) const -> std::string_view
{
    return message_ == nullptr ? std::string_view{}
                               : find_field(*message_, name);
}

auto http_reply::body() const -> std::string_view
{
    return message_ == nullptr ? std::string_view{} : message_->body;
}

http_connection::http_connection(loop_ref base, std::string const& address,
    duration timeout, http_connection_callbacks f)
    : base_(base), address_(address), timeout_(timeout),
      callbacks_(std::move(f)), timer_(base, [this] { refuse_reply(); }),
      free_dropped_(base, [this] { dropped_.clear(); })
{
}

auto http_connection::send(http_request const& r, on_reply f) -> void
{
    queue_.push_back(
        {text_of(r, address_), r.method == EVHTTP_REQ_HEAD, std::move(f)});
    start_next();
}

auto http_connection::partial_bytes() const -> std::size_t
{
    return link_ == nullptr ? 0 : link_->partial_bytes();
}

auto http_connection::refuse_reply() -> void
{
    drop_link();
    if (in_flight_)
        finish(nullptr);
}

auto http_connection::start_next() -> void
{
    if (in_flight_ || queue_.empty())
        return;
    if (link_ == nullptr || !link_->is_open())
        connect();
    in_flight_ = true;
    timer_.after(timeout_);
    link_->send(queue_.front().text, queue_.front().is_head);
}

auto http_connection::connect() -> void
{
    drop_link();
    link_ = std::make_unique<http_link>(base_, address_, stream_options{},
        read_limits{max_header_bytes, max_reply_bytes},
        http_link::callbacks{{},
            [this](http_message const& m, bool reusable)
            { on_replied(m, reusable); },
            [this](link_end) { on_ended(); }, callbacks_.grew});
}

auto http_connection::drop_link() -> void
{
    if (link_ == nullptr)
        return;
    link_->close();
    dropped_.push_back(std::move(link_));
    free_dropped_.activate();
}

auto http_connection::on_replied(http_message const& m, bool reusable) -> void
{
    if (!reusable)
        drop_link();
    finish(&m);
}

auto http_connection::on_ended() -> void
{
    drop_link();
    if (in_flight_)
        finish(nullptr);
    else if (callbacks_.closed)
        callbacks_.closed();
}

/// Ends the request in flight and sends the next one.
auto http_connection::finish(http_message const* m) -> void
{
    timer_.stop();
    in_flight_ = false;
    auto const done = std::move(queue_.front());
    queue_.pop_front();
    start_next();
    done.f(http_reply{m});
}

} // namespace knapweedstream
