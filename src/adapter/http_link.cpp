#include "adapter/http_link.hpp"

#include <utility>

namespace knapweedstream
{

http_link::http_link(loop_ref base, std::string const& address,
    stream_options const& options, read_limits const& limits, callbacks f)
    : callbacks_(std::move(f)), reader_(message_kind::response, limits),
      stream_(base, address, options,
          {[this]
              {
                  opened_ = true;
                  if (callbacks_.opened)
                      callbacks_.opened();
              },
              [this](std::string_view bytes) { on_received(bytes); }, {},
              [this](stream_end how)
              {
                  on_ended(how);
              }})
{
}

auto http_link::send(std::string_view text, bool head_request) -> void
{
    busy_ = true;
    request_bytes_ = text.size();
    reader_.expect_no_body(head_request);
    stream_.write(text);
}

auto http_link::close() -> void
{
    closed_ = true;
    stream_.close();
    reader_.discard(); // The link itself may be freed much later.
}

auto http_link::is_unsent() const -> bool
{
    return busy_ && stream_.unwritten() >= request_bytes_;
}

auto http_link::on_received(std::string_view bytes) -> void
{
    if (!busy_)
        return finish(link_end::garbled);
    auto const n = reader_.feed(bytes);
    if (reader_.error())
        return finish(link_end::garbled);
    if (reader_.is_complete())
        deliver(n == bytes.size());
    else if (callbacks_.grew)
        callbacks_.grew();
}

auto http_link::deliver(bool reusable) -> void
{
    busy_ = false;
    auto m = reader_.take();
    // If the response came before the request was fully written, the rest of
    // the request is still queued and the connection cannot be reused.
    auto const fully_written = stream_.unwritten() == 0;
    auto const can_reuse =
        reusable && fully_written && m.keep_alive && stream_.is_open();
    callbacks_.replied(std::move(m), can_reuse);
}

auto http_link::on_ended(stream_end how) -> void
{
    if (how == stream_end::refused || !opened_)
        return callbacks_.ended(link_end::refused);
    if (how == stream_end::closed && busy_)
    {
        reader_.end();
        if (reader_.is_complete())
            deliver(false);
        if (closed_)
            return;
    }
    callbacks_.ended(
        how == stream_end::closed ? link_end::closed : link_end::reset);
}

auto http_link::finish(link_end how) -> void
{
    stream_.close();
    reader_.discard();
    callbacks_.ended(how);
}

} // namespace knapweedstream
