#include "adapter/target_links.hpp"

#include <utility>

namespace knapweedstream
{

namespace
{

constexpr auto unacked_timeout = milliseconds{2'000};
constexpr auto max_reply_header = std::size_t{64} << 10;
constexpr auto max_reply_body = std::size_t{16} << 20;

auto to_connection_end(link_end how) -> dispatch::connection_end
{
    switch (how)
    {
    case link_end::refused:
        return dispatch::connection_end::refused;
    case link_end::closed:
        return dispatch::connection_end::closed;
    case link_end::reset:
        return dispatch::connection_end::reset;
    case link_end::garbled:
        return dispatch::connection_end::protocol_error;
    }
    return dispatch::connection_end::reset;
}

} // namespace

target_links::target_links(
    loop_ref base, target_codec codec, dispatch_sink sink)
    : base_(base), codec_(std::move(codec)), sink_(std::move(sink))
{
}

auto target_links::run(dispatch::open_connection const& c) -> void
{
    auto const id = c.connection;
    auto link = std::make_unique<http_link>(base_, c.address,
        stream_options{unacked_timeout, seconds{0}},
        read_limits{max_reply_header, max_reply_body},
        http_link::callbacks{[this, id]
            { sink_(dispatch::connection_opened{id}); },
            [this, id](http_message&& m, bool reusable)
            { on_replied(id, std::move(m), reusable); },
            [this, id](link_end how) { on_ended(id, how); },
            [this, id]
            {
                limit_reply(id);
            }});
    entries_.emplace(id, entry{std::move(link), {}, {}});
}

auto target_links::run(dispatch::close_connection const& c) -> void
{
    release(c.connection);
}

auto target_links::run(dispatch::send_request const& c) -> void
{
    auto const it = entries_.find(c.connection);
    if (it == entries_.end() || !it->second.link->is_open())
        return;
    it->second.attempt = c.attempt;
    it->second.request = c.request;
    if (common_request_ != c.request)
    {
        common_request_ = c.request;
        common_text_ = codec_.encode_common(*c.request);
    }
    auto const rest = codec_.encode_rest(*c.request, c.target, c.time_left);
    it->second.link->send(common_text_ + rest, c.request->method == "HEAD");
}

auto target_links::on_replied(connection_id id, http_message&& m, bool reusable)
    -> void
{
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    reply_memory_.forget(id);
    auto const request = std::exchange(it->second.request, {});
    auto decoded = codec_.decode(std::move(m), request->id);
    sink_(dispatch::target_replied{id, it->second.attempt,
        std::move(decoded.reply), reusable && decoded.reusable,
        decoded.idle_limit, std::move(decoded.said)});
}

auto target_links::on_ended(connection_id id, link_end how) -> void
{
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    auto const unsent = it->second.link->is_unsent();
    release(id);
    sink_(dispatch::connection_closed{id, to_connection_end(how), unsent});
}

auto target_links::limit_reply(connection_id id) -> void
{
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    reply_memory_.set(id, it->second.link->partial_bytes());
    while (auto const largest = reply_memory_.largest_beyond_limit())
        entries_.at(*largest).link->refuse_response();
}

auto target_links::release(connection_id id) -> void
{
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    reply_memory_.forget(id);
    it->second.link->close();
    closed_.push_back(std::move(it->second.link));
    entries_.erase(it);
}

} // namespace knapweedstream
