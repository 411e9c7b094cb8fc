#include "adapter/relay_link.hpp"

#include "adapter/value_codec.hpp"

#include <event2/buffer.h>

#include <algorithm>
#include <tuple>

namespace knapweedstream
{

namespace
{

constexpr auto relay_path = "/v1/store-changes";
constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto max_question_bytes = 64 << 10;

auto is_known(store_kind kind) -> bool
{
    return std::find(store_kinds.begin(), store_kinds.end(), kind) !=
           store_kinds.end();
}

/// Decodes a message whose member `list` holds entries of a kind each.
template <class T, class List>
auto parse_with_kinds(std::string_view text, char const* what, List T::*list)
    -> leaf::result<T>
{
    BOOST_LEAF_AUTO(it, decode<T>(text, what));
    auto const& entries = it.*list;
    auto const known = std::all_of(entries.begin(), entries.end(),
        [](auto const& e) { return is_known(e.kind); });
    if (!known)
        return leaf::new_error(decode_error{what});
    return it;
}

auto body_of(evhttp_request* r) -> std::string
{
    auto* buf = evhttp_request_get_input_buffer(r);
    auto text = std::string(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, text.data(), text.size());
    return text;
}

auto send_text(evhttp_request* r, std::string const& text) -> void
{
    auto* buf = evhttp_request_get_output_buffer(r);
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(r, ok, nullptr, nullptr);
}

} // namespace

auto parse_relay_request(std::string_view text)
    -> leaf::result<dispatch::relay_request>
{
    return parse_with_kinds(
        text, "relay request", &dispatch::relay_request::known);
}

auto parse_relay_reply(std::string_view text)
    -> leaf::result<dispatch::relay_reply>
{
    return parse_with_kinds(
        text, "relay reply", &dispatch::relay_reply::updates);
}

relay_client::relay_client(loop_ref base, dispatch_sink sink)
    : base_(base), sink_(std::move(sink))
{
}

auto relay_client::run(dispatch::ask_relay const& c) -> void
{
    auto m = http_message{};
    m.method = "POST";
    m.target = relay_path;
    m.body = encode(c.request);
    auto& channel =
        channels_.try_emplace(c.address, base_, c.address).first->second;
    auto const address = c.address;
    channel.call(
        m, c.timeout,
        [this, address](http_message const& answer)
        {
            auto e = leaf::try_handle_all(
                [&]() -> leaf::result<dispatch::event>
                {
                    BOOST_LEAF_AUTO(reply, parse_relay_reply(answer.body));
                    return dispatch::event{
                        dispatch::relay_replied{address, std::move(reply)}};
                },
                [&]
                { return dispatch::event{dispatch::relay_failed{address}}; });
            sink_(std::move(e));
        },
        [this, address](link_end, bool)
        { sink_(dispatch::relay_failed{address}); });
}

auto relay_client::free_closed() -> void
{
    for (auto& [address, it] : channels_)
        it.free_closed();
}

relay_server::relay_server(loop_ref base, dispatch_sink sink)
    : sink_(std::move(sink)), http_(evhttp_new(base))
{
    evhttp_set_max_body_size(http_.get(), max_question_bytes);
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_POST);
    evhttp_set_gencb(http_.get(), on_request, this);
}

auto relay_server::start(std::string const& address) -> leaf::result<void>
{
    auto const at = split_address(address);
    if (evhttp_bind_socket(http_.get(), at.host.c_str(), at.port) != 0)
        return leaf::new_error(
            listen_error{address, "questions of other instances"});
    return {};
}

auto relay_server::on_request(evhttp_request* r, void* arg) -> void
{
    static_cast<relay_server*>(arg)->take(r);
}

auto relay_server::take(evhttp_request* r) -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(question, parse_relay_request(body_of(r)));
            auto const id = dispatch::relay_caller_id{next_id_++};
            pending_[id] = r;
            evhttp_connection_set_closecb(
                evhttp_request_get_connection(r), on_closed, this);
            sink_(dispatch::relay_asked{id, std::move(question)});
            return {};
        },
        [&] { evhttp_send_error(r, bad_request, nullptr); });
}

auto relay_server::on_closed(evhttp_connection* c, void* arg) -> void
{
    std::erase_if(static_cast<relay_server*>(arg)->pending_, [&](auto const& it)
        { return evhttp_request_get_connection(it.second) == c; });
}

auto relay_server::run(dispatch::answer_relay const& c) -> void
{
    auto const text = encode(c.reply);
    for (auto const id : c.callers)
    {
        auto const it = pending_.find(id);
        if (it == pending_.end())
            continue; // It has hung up.
        auto* r = it->second;
        pending_.erase(it);
        send_text(r, text);
    }
}

} // namespace knapweedstream
