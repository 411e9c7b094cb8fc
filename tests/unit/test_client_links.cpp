/// Client connections: calls made from handlers, and the memory of replies that
/// have no end.
#include "adapter/call_channel.hpp"
#include "adapter/leaf_client.hpp"
#include "unit/scripted_target.hpp"

namespace ks = knapweedstream;
using ks::seconds;
using namespace scripted;

namespace
{

constexpr auto unframed_head =
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: q1\r\n\r\n";

} // namespace

TEST_CASE(
    "replies: a call made while a reply ends with its connection does not "
    "fail with that connection")
{
    auto const script = reply_script{std::string{unframed_head} + "abcd", ""};
    {
        auto l = loop{};
        auto target = scripted_target{l.base.get(), script};
        auto bodies = std::vector<std::string>{};
        auto failed = 0;
        auto channel = ks::call_channel{l.base.get(), address};
        auto request = ks::http_message{};
        request.method = "GET";
        request.target = "/x";
        std::function<void()> call = [&]
        {
            channel.call(
                request, seconds{1},
                [&](ks::http_message const& m)
                {
                    bodies.push_back(m.body);
                    if (bodies.size() < 3)
                        call();
                },
                [&](ks::link_end, bool) { ++failed; });
        };
        call();
        CHECK(l.run_until([&] { return bodies.size() == 3 || failed > 0; }));
        CHECK(bodies == std::vector<std::string>(3, "abcd"));
    }
    {
        auto l = loop{};
        auto target = scripted_target{l.base.get(), script};
        auto bodies = std::vector<std::string>{};
        auto connection =
            ks::http_connection{l.base.get(), address, seconds{1}};
        for (auto i = 0; i < 3; ++i)
            connection.send({EVHTTP_REQ_GET, "/x", {}, {}},
                [&](ks::http_reply const& r)
                { bodies.emplace_back(r.body()); });
        CHECK(l.run_until([&] { return bodies.size() == 3; }));
        CHECK(bodies == std::vector<std::string>(3, "abcd"));
    }
}

// Guards against a process that runs out of memory: closed links are freed
// late.
TEST_CASE("replies: a link that is closed keeps no memory of a partial reply")
{
    constexpr auto grown = std::size_t{1} << 20;
    constexpr auto small = std::size_t{1} << 10;
    for (auto const refused : {false, true})
    {
        auto l = loop{};
        auto target = scripted_target{
            l.base.get(), {unframed_head, std::string(1'000, 'b')}};
        auto link = ks::http_link{l.base.get(), address, {}, {},
            {{}, [](ks::http_message&&, bool) {}, [](ks::link_end) {}, {}}};
        link.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(l.run_until([&] { return link.partial_bytes() > grown; }));
        if (refused)
            link.refuse_response();
        else
            link.close();
        CHECK(link.partial_bytes() < small);
    }
}

// Guards against a process that runs out of memory.
TEST_CASE("replies: one to a cancellation that has no end is cut off early")
{
    constexpr auto most = std::size_t{8} << 20; // Limit of any other reply.
    auto l = loop{};
    auto target =
        scripted_target{l.base.get(), {unframed_head, std::string(1'000, 'b')}};
    auto client = ks::leaf_client{l.base.get(), [](ks::event const&) {
                                  }};
    client.run(ks::leaf_cancel{address, ks::attempt_id{1}});
    CHECK(l.run_until([&] { return target.ended > 0; }));
    CHECK(target.written < most);
}
