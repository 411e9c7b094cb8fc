#include "adapter/page_server.hpp"

#include <event2/buffer.h>

namespace knapweedstream
{

page_server::page_server(loop_ref base, page_table pages)
    : pages_(std::move(pages)), http_(evhttp_new(base))
{
    evhttp_set_gencb(http_.get(), on_request, this);
}

auto page_server::start(std::string const& address, std::string const& used_for)
    -> leaf::result<void>
{
    auto const at = split_address(address);
    if (evhttp_bind_socket(http_.get(), at.host.c_str(), at.port) != 0)
        return leaf::new_error(listen_error{address, used_for});
    return {};
}

auto page_server::on_request(evhttp_request* r, void* arg) -> void
{
    auto const* self = static_cast<page_server const*>(arg);
    auto const* uri = evhttp_request_get_evhttp_uri(r);
    auto const* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    auto const it = self->pages_.find(path == nullptr ? "" : path);
    if (it == self->pages_.end())
        return evhttp_send_error(r, HTTP_NOTFOUND, nullptr);
    auto const p = it->second();
    auto* buf = evhttp_request_get_output_buffer(r);
    evbuffer_add(buf, p.text.data(), p.text.size());
    evhttp_send_reply(r, static_cast<int>(p.status), nullptr, nullptr);
}

} // namespace knapweedstream
