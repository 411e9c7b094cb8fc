#include "adapter/call_channel.hpp"

#include <utility>

namespace knapweedstream
{

namespace
{

constexpr auto unacked_timeout = milliseconds{2'000};
constexpr auto keepalive_idle = seconds{2};
constexpr auto max_reply_header = std::size_t{64} << 10;
constexpr auto max_reply_body = std::size_t{8} << 20;

} // namespace

call_channel::call_channel(loop_ref base, std::string const& address)
    : base_(base), address_(address),
      timeout_(base, [this] { fail(link_end::reset, false); })
{
}

auto call_channel::call(http_message const& m, duration limit,
    reply_handler on_reply, failure_handler on_failure) -> void
{
    if (pending_)
        drop_link(); // The new call replaces the pending one.
    pending_ = true;
    on_reply_ = std::move(on_reply);
    on_failure_ = std::move(on_failure);
    timeout_.after(limit);
    if (link_ == nullptr || !link_->is_open())
        connect();
    auto request = m;
    request.fields.push_back({"Host", address_});
    link_->send(request_text(request));
}

auto call_channel::connect() -> void
{
    drop_link();
    link_ = std::make_unique<http_link>(base_, address_,
        stream_options{unacked_timeout, keepalive_idle},
        read_limits{max_reply_header, max_reply_body},
        http_link::callbacks{{},
            [this](http_message const& m, bool reusable)
            { on_replied(m, reusable); },
            [this](link_end how)
            {
                fail(how, true);
            }});
}

auto call_channel::on_replied(http_message const& m, bool reusable) -> void
{
    if (!pending_)
        return;
    pending_ = false;
    timeout_.stop();
    if (!reusable)
        drop_link();
    // The handler may make the next call, which replaces the handlers.
    auto const handle = std::exchange(on_reply_, {});
    handle(m);
}

auto call_channel::fail(link_end how, bool in_time) -> void
{
    drop_link();
    if (!pending_)
        return;
    pending_ = false;
    timeout_.stop();
    auto const handle = std::exchange(on_failure_, {});
    handle(how, in_time);
}

auto call_channel::drop_idle() -> void
{
    if (!pending_)
        drop_link();
}

auto call_channel::drop_link() -> void
{
    if (link_ == nullptr)
        return;
    link_->close();
    closed_.push_back(std::move(link_));
}

} // namespace knapweedstream
