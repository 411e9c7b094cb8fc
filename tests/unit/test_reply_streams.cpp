#include "adapter/call_channel.hpp"
#include "adapter/leaf_client.hpp"
#include "adapter/target_links.hpp"
#include "platform/targets.hpp"
#include "unit/scripted_target.hpp"

#include <algorithm>
#include <optional>

namespace ks = knapweedstream;
using ks::milliseconds;
using ks::seconds;
using namespace scripted;

namespace
{

auto search_request() -> ks::routed_request_ptr
{
    auto r = ks::routed_request{};
    r.id = "q1";
    r.method = "GET";
    r.target = "/x";
    r.host = "h";
    return std::make_shared<ks::routed_request const>(r);
}

/// What callers of a routed request learn of the reply.
struct routed_result
{
    bool ended = false; ///< A reply or the end of the connection was reported.
    bool success = false;
    bool failure = false; ///< A failure to pass on to the caller.
    std::string body;
    std::size_t written = 0; ///< Bytes that the target has sent.
    bool closed = false;     ///< The target saw the connection's end.
};

auto ask_routed(reply_script const& script) -> routed_result
{
    auto l = loop{};
    auto target = scripted_target{l.base.get(), script};
    auto result = routed_result{};
    auto const id = ks::connection_id{1};
    ks::target_links* links = nullptr;
    auto client = ks::target_links{l.base.get(),
        ks::platform::make_target_dialect(),
        [&](ks::dispatch::event const& e)
        {
            if (std::holds_alternative<ks::dispatch::connection_opened>(e))
                links->run(ks::dispatch::send_request{
                    id, ks::attempt_id{1}, "t", search_request(), seconds{1}});
            if (std::holds_alternative<ks::dispatch::connection_closed>(e))
                result.ended = true;
            if (auto const* it = std::get_if<ks::dispatch::target_replied>(&e))
            {
                result.ended = true;
                auto const* good = std::get_if<ks::reply_success>(&it->reply);
                result.success = good != nullptr;
                result.failure =
                    std::holds_alternative<ks::reply_failure>(it->reply);
                result.body = good == nullptr ? "" : good->message.body;
            }
        }};
    links = &client;
    client.run(ks::dispatch::open_connection{id, address});
    CHECK(l.run_until([&] { return result.ended; }));
    client.run(ks::dispatch::close_connection{id});
    client.free_closed();
    result.closed = l.run_until([&] { return target.ended > 0; });
    result.written = target.written;
    return result;
}

/// Outcome of a search or booking at a target; failed if its connection ended.
///
/// @param[out] written Bytes that the target has sent.
auto ask_leaf(reply_script script, bool booking, std::size_t* written = nullptr)
    -> ks::leaf_outcome
{
    script.hello = "HTTP/1.1 200 OK\r\nX-Boot-Id: 7\r\nX-Serves: 1\r\n"
                   "Content-Length: 0\r\n\r\n";
    auto l = loop{};
    auto target = scripted_target{l.base.get(), script};
    auto outcome = std::optional<ks::leaf_outcome>{};
    auto const id = ks::connection_id{1};
    ks::leaf_client* leafs = nullptr;
    auto client = ks::leaf_client{l.base.get(), [&](ks::event const& e)
        {
            if (std::holds_alternative<ks::leaf_opened>(e) && booking)
                leafs->run(ks::leaf_book{
                    id, ks::attempt_id{1}, {}, seconds{1}, "k", "b"});
            else if (std::holds_alternative<ks::leaf_opened>(e))
                leafs->run(ks::leaf_search{
                    id, ks::attempt_id{1}, {}, {}, seconds{1}, "q"});
            if (auto const* it = std::get_if<ks::leaf_answered>(&e))
                outcome = it->outcome;
            if (std::holds_alternative<ks::leaf_closed>(e) && !outcome)
                outcome = ks::leaf_failed{0};
        }};
    leafs = &client;
    client.run(ks::leaf_open{id, address});
    CHECK(l.run_until([&] { return outcome.has_value(); }));
    client.run(ks::leaf_close{id});
    client.free_closed();
    if (written != nullptr)
        *written = target.written;
    return outcome.value_or(ks::leaf_failed{0});
}

constexpr auto framed_head =
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: q1\r\n"
    "Content-Length: 4\r\n\r\n";
constexpr auto chunked_head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: "
                              "s\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr auto unframed_head =
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: q1\r\n\r\n";

/// Status that a call to the store or to another instance gets; 0: it failed.
auto status_of_call(reply_script const& script) -> std::uint32_t
{
    auto l = loop{};
    auto target = scripted_target{l.base.get(), script};
    auto channel = ks::call_channel{l.base.get(), address};
    auto request = ks::http_message{};
    request.method = "GET";
    request.target = "/x";
    auto status = std::optional<std::uint32_t>{};
    channel.call(
        request, seconds{1},
        [&](ks::http_message const& m) { status = m.status; },
        [&](ks::link_end, bool) { status = 0; });
    CHECK(l.run_until([&] { return status.has_value(); }));
    return status.value_or(0);
}

/// Status that the command line gets; 0: no reply.
auto status_of_connection(reply_script const& script) -> std::uint32_t
{
    auto l = loop{};
    auto target = scripted_target{l.base.get(), script};
    auto connection = ks::http_connection{l.base.get(), address, seconds{1}};
    auto status = std::optional<std::uint32_t>{};
    connection.send({EVHTTP_REQ_GET, "/x", {}, {}},
        [&](ks::http_reply const& r) { status = r.status(); });
    CHECK(l.run_until([&] { return status.has_value(); }));
    return status.value_or(0);
}

/// Replies that are no valid HTTP.
///
/// @param[in] fields Lines of a valid head.
/// @param[in] rest The length, the end of the head and the body.
auto invalid_replies(std::string const& fields, std::string const& rest)
    -> std::vector<std::string>
{
    auto all = std::vector<std::string>{};
    for (auto const* status : {"000", "001", "099", "20", "600", "999"})
        all.push_back(
            std::string{"HTTP/1.1 "} + status + " OK\r\n" + fields + rest);
    return all;
}

/// Replies whose head or body has no end.
auto endless_replies() -> std::vector<reply_script>
{
    auto const line = std::string{"X-A: "} + std::string(100, 'a');
    return {{"", std::string(1'000, 'x')},
        {"HTTP/1.1 200 ", std::string(1'000, 'x')},
        {"HTTP/1.1 200 OK\r\n", line + "\r\n"},
        {"HTTP/1.1 200 OK\r\nX-A: ", std::string(1'000, 'a')},
        {framed_head, std::string(1'000, 'b')},
        {unframed_head, std::string(1'000, 'b')},
        {chunked_head, "3e8\r\n" + std::string(1'000, 'b') + "\r\n"},
        {chunked_head, std::string(1'000, '0')},
        {chunked_head, "1;a=" + std::string(1'000, 'b')},
        {std::string{chunked_head} + "0\r\n", line + "\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
            std::string(1'000, 'b')}};
}

/// Most bytes kept of partial replies while many connections get bodies without
/// end.
auto peak_of_endless_bodies(std::uint32_t links_count) -> std::size_t
{
    auto l = loop{};
    auto target =
        scripted_target{l.base.get(), {unframed_head, std::string(1'000, 'b')}};
    auto ended = 0u;
    auto peak = std::size_t{0};
    ks::target_links* links = nullptr;
    auto client =
        ks::target_links{l.base.get(), ks::platform::make_target_dialect(),
            [&](ks::dispatch::event const& e)
            {
                if (auto const* it =
                        std::get_if<ks::dispatch::connection_opened>(&e))
                    links->run(ks::dispatch::send_request{it->connection,
                        ks::attempt_id{1}, "t", search_request(), seconds{1}});
                if (std::holds_alternative<ks::dispatch::connection_closed>(e))
                    ++ended;
            }};
    links = &client;
    for (auto i = std::uint32_t{1}; i <= links_count; ++i)
        client.run(
            ks::dispatch::open_connection{ks::connection_id{i}, address});
    CHECK(l.run_until(
        [&]
        {
            peak = std::max(peak, client.partial_bytes());
            return ended == links_count;
        }));
    CHECK(peak > std::size_t{16} << 20);
    client.free_closed();
    return peak;
}

} // namespace

TEST_CASE("replies: one that ends in its head or before its length reaches no "
          "caller as a success")
{
    for (auto const* whole : {framed_head, chunked_head, unframed_head})
    {
        auto const head = std::string{whole};
        for (std::size_t n = 1; n < head.size(); n += 3)
        {
            CAPTURE(head.substr(0, n));
            auto const r = ask_routed({head.substr(0, n), ""});
            CHECK(r.ended);
            CHECK(!r.success);
        }
    }
    CHECK(!ask_routed({std::string{framed_head} + "abc", ""}).success);
    CHECK(
        !ask_routed({std::string{chunked_head} + "4\r\nabcd\r\n", ""}).success);
    CHECK(ask_routed({std::string{framed_head} + "abcd", ""}).body == "abcd");
    CHECK(ask_routed({std::string{unframed_head} + "abcd", ""}).body == "abcd");
}

TEST_CASE("replies: bytes without end are cut off, in a head and in a body")
{
    constexpr auto most = std::size_t{24} << 20;
    for (auto const& it : endless_replies())
    {
        CAPTURE(it.text);
        CAPTURE(it.repeated.substr(0, 12));
        auto const r = ask_routed(it);
        CHECK(r.ended);
        CHECK(r.closed);
        CHECK(r.written < most);
        CHECK((!r.success || it.text == framed_head));
    }
}

TEST_CASE("replies: one that is no valid HTTP is never passed on as an answer")
{
    auto const fields = std::string{"X-Server-Stamp: s\r\nX-Request-Id: q1\r\n"
                                    "X-Boot-Id: 7\r\nX-Reference: r\r\n"};
    auto const rest = std::string{"Content-Length: 4\r\n\r\nabcd"};
    REQUIRE(ask_routed({"HTTP/1.1 200 OK\r\n" + fields + rest, ""}).success);
    REQUIRE(ask_routed({"HTTP/1.1 500 No\r\n" + fields + rest, ""}).failure);
    for (auto const& text : invalid_replies(fields, rest))
    {
        CAPTURE(text);
        auto const r = ask_routed({text, ""});
        CHECK(r.ended);
        CHECK(!r.success);
        CHECK(!r.failure);
        for (auto const booking : {false, true})
            CHECK(ask_leaf({text, ""}, booking) ==
                  ks::leaf_outcome{ks::leaf_failed{0}});
        CHECK(status_of_call({text, ""}) == 0);
        CHECK(status_of_connection({text, ""}) == 0);
    }
}

// Guards against a process that runs out of memory.
TEST_CASE("replies: many bodies without end at once stay within the memory for "
          "them")
{
    constexpr auto most = std::size_t{34} << 20;
    // With 300, no reply alone is large.
    for (auto const links_count : {8u, 300u})
        CHECK(peak_of_endless_bodies(links_count) < most);
}

TEST_CASE("replies: one to a query or booking that is cut or has no end is a "
          "failure")
{
    auto const head = std::string{
        "HTTP/1.1 200 OK\r\nX-Boot-Id: 7\r\nX-Shard: 0\r\nX-Epoch: 1\r\n"
        "X-Snapshot: 1\r\nX-Reference: r\r\nContent-Length: 12\r\n\r\n"};
    for (auto const booking : {false, true})
    {
        CAPTURE(booking);
        for (std::size_t n = 1; n < head.size() + 12; n += 5)
        {
            auto const text = (head + R"({"rows":[]} )").substr(0, n);
            CAPTURE(text);
            CHECK(std::holds_alternative<ks::leaf_failed>(
                ask_leaf({text, ""}, booking)));
        }
        for (auto const& it :
            std::vector<reply_script>{{"", std::string(1'000, 'x')},
                {"HTTP/1.1 200 OK\r\nX-A: ", std::string(1'000, 'a')},
                {"HTTP/1.1 200 OK\r\n", "X-A: 1\r\n"},
                {"HTTP/1.1 200 OK\r\n\r\n", std::string(1'000, 'b')}})
        {
            CAPTURE(it.text);
            CHECK(
                std::holds_alternative<ks::leaf_failed>(ask_leaf(it, booking)));
        }
    }
}

// Guards against a process that runs out of memory.
TEST_CASE("replies: bytes without end are cut off for queries and bookings too")
{
    constexpr auto most = std::size_t{24} << 20;
    for (auto const booking : {false, true})
        for (auto const& it : endless_replies())
        {
            CAPTURE(booking);
            CAPTURE(it.text);
            CAPTURE(it.repeated.substr(0, 12));
            auto written = std::size_t{0};
            auto const outcome = ask_leaf(it, booking, &written);
            CHECK((std::holds_alternative<ks::leaf_failed>(outcome) ||
                   it.text == framed_head));
            CHECK(written < most);
        }
}
