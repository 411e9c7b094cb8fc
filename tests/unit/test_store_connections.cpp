/// Connections to the store that stay open but deliver nothing more.
#include "adapter/store_client.hpp"
#include "unit/scripted_target.hpp"

namespace ks = knapweedstream;
using ks::milliseconds;
using namespace scripted;

namespace
{

/// A store that answers every call, but none on a silent connection.
class silent_store
{
public:
    explicit silent_store(event_base* base)
        : base_(base), listener_(base, [this](int fd) { accept(fd); })
    {
        ks::leaf::try_handle_all([&]
            { return listener_.start(address, "test"); },
            [] { FAIL("cannot listen"); });
    }

    /// The connections that are open now deliver nothing more.
    auto silence_open() -> void { first_heard_ = streams_.size(); }

private:
    auto accept(int fd) -> void
    {
        auto const i = streams_.size();
        streams_.push_back(std::make_unique<ks::tcp_stream>(base_, fd,
            ks::tcp_stream::callbacks{{},
                [this, i](std::string_view)
                {
                    if (i >= first_heard_)
                        streams_[i]->write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                },
                {},
                [](ks::stream_end) {
                }}));
    }

    event_base* base_;
    std::size_t first_heard_ = 0; ///< Index of the first stream not silent.
    ks::tcp_listener listener_;
    std::vector<std::unique_ptr<ks::tcp_stream>> streams_;
};

auto call_of(std::string const& path) -> ks::http_message
{
    auto m = ks::http_message{};
    m.method = "GET";
    m.target = path;
    return m;
}

/// A codec whose answers hold nothing.
auto empty_codec() -> ks::store_codec
{
    auto c = ks::store_codec{};
    c.watch = [](auto const&)
    {
        return call_of("/watch");
    };
    c.record = [](auto const&, auto const&)
    {
        return call_of("/record");
    };
    c.read_watch = [](ks::store_kind kind, auto const&)
    {
        return ks::dispatch::store_changed{kind, {}, 1, {}};
    };
    c.read_write = [](ks::store_kind kind, std::string const& name, auto const&)
    {
        return ks::dispatch::store_written{kind, name, 1, {}, {}};
    };
    return c;
}

} // namespace

TEST_CASE("store: a write after a call without an answer does not wait on an "
          "idle connection that has gone silent as well")
{
    auto l = loop{};
    auto store = silent_store{l.base.get()};
    auto changed = 0;
    auto written = 0;
    auto failed = 0;
    auto client = ks::store_client{l.base.get(), address, empty_codec(),
        [&](ks::dispatch::event const& e)
        {
            if (std::holds_alternative<ks::dispatch::store_changed>(e))
                ++changed;
            else if (auto const* it =
                         std::get_if<ks::dispatch::store_written>(&e))
                it->failure ? ++failed : ++written;
            else
                ++failed;
        }};
    auto const watch = ks::dispatch::store_watch{
        ks::store_kind::targets, 1, milliseconds{1}, false, milliseconds{100}};
    auto const write = ks::dispatch::store_write_record{{}, 0};
    client.run(watch);
    client.run(write);
    REQUIRE(l.run_until([&] { return changed == 1 && written == 1; }));
    store.silence_open();
    client.run(watch);
    REQUIRE(l.run_until([&] { return failed == 1; }));
    client.run(write);
    auto const start = ks::steady_now();
    CHECK(l.run_until([&] { return written == 2; }));
    CHECK(ks::steady_now() - start < milliseconds{500});
}
