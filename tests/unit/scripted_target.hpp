/// A target that answers by a script, and a loop to run it, for tests of
/// replies.
#ifndef KNAPWEEDSTREAM_TESTS_UNIT_SCRIPTED_TARGET_HPP
#define KNAPWEEDSTREAM_TESTS_UNIT_SCRIPTED_TARGET_HPP

#include "adapter/tcp_stream.hpp"

#include <knapweedstream/route.hpp>

#include <doctest/doctest.h>

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace scripted
{

namespace ks = knapweedstream;

constexpr auto address = "127.0.0.1:27990";

/// How a target replies: with some text, then with a text without end, or it
/// closes the connection.
struct reply_script
{
    std::string text;
    std::string repeated; ///< Empty: the connection is closed after `text`.
    std::string hello{};  ///< Reply to the first request, if there is one.
};

/// A target that answers each request by a script.
class scripted_target
{
public:
    scripted_target(event_base* base, reply_script script)
        : base_(base), script_(std::move(script)),
          listener_(base, [this](int fd) { accept(fd); })
    {
        ks::leaf::try_handle_all([&]
            { return listener_.start(address, "test"); },
            [] { FAIL("cannot listen"); });
    }

    /// Sets how the next requests are answered.
    auto set_script(reply_script script) -> void
    {
        script_ = std::move(script);
    }

    std::string received; ///< Bytes of all requests.
    std::size_t written = 0;
    std::size_t ended = 0; ///< Connections that the caller closed.

private:
    auto accept(int fd) -> void
    {
        auto const i = streams_.size();
        streams_.push_back(std::make_unique<ks::tcp_stream>(base_, fd,
            ks::tcp_stream::callbacks{{},
                [this, i](std::string_view bytes)
                {
                    received.append(bytes);
                    answer(i);
                },
                [this, i] { more(i); },
                [this](ks::stream_end)
                {
                    ++ended;
                }}));
    }

    auto answer(std::size_t i) -> void
    {
        if (!script_.hello.empty())
            return write(i, std::exchange(script_.hello, {}));
        begun_ = true;
        write(i, script_.text);
        if (script_.repeated.empty())
            return streams_[i]->shut_down();
        more(i);
    }

    /// Writes the repeated text until the socket takes no more for now.
    auto more(std::size_t i) -> void
    {
        constexpr auto piece = std::size_t{64} << 10;
        if (!begun_ || script_.repeated.empty())
            return;
        auto text = std::string{};
        while (text.size() < piece)
            text += script_.repeated;
        while (streams_[i]->is_open() && streams_[i]->unwritten() == 0)
            write(i, text);
    }

    auto write(std::size_t i, std::string const& text) -> void
    {
        written += text.size();
        streams_[i]->write(text);
    }

    event_base* base_;
    reply_script script_;
    bool begun_ = false; ///< The reply after the first one has begun.
    ks::tcp_listener listener_;
    std::vector<std::unique_ptr<ks::tcp_stream>> streams_;
};

struct loop
{
    std::unique_ptr<event_base, void (*)(event_base*)> base{
        event_base_new(), event_base_free};

    /// Runs until a condition holds; returns false after 3 s.
    auto run_until(std::function<bool()> const& holds) -> bool
    {
        auto const step = timeval{0, 2'000};
        for (auto i = 0; i < 1'500 && !holds(); ++i)
        {
            event_base_loopexit(base.get(), &step);
            event_base_dispatch(base.get());
        }
        return holds();
    }
};

} // namespace scripted

#endif
