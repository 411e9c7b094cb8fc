#include "adapter/http_reader.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;

namespace
{

/// Feeds a text in pieces of `n` bytes until an error.
///
/// @returns All complete messages.
auto read_all(ks::http_reader& r, std::string_view text, std::size_t n)
    -> std::vector<ks::http_message>
{
    auto out = std::vector<ks::http_message>{};
    for (std::size_t at = 0; at < text.size();)
    {
        auto const taken = r.feed(text.substr(at, n));
        if (r.error())
            return out;
        if (r.is_complete())
            out.push_back(r.take());
        at += taken;
    }
    return out;
}

constexpr auto two_requests =
    "GET /a?b HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n"
    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

auto is_refused(std::string_view text,
    ks::message_kind kind = ks::message_kind::request) -> bool
{
    auto refused = true;
    for (auto const n : {text.size(), std::size_t{1}})
    {
        auto r = ks::http_reader{kind, {}};
        auto const all = read_all(r, text, n);
        refused =
            refused && all.empty() && r.error() == ks::read_error::malformed;
    }
    return refused;
}

/// True if a byte may stand in the name of a field (RFC 9110, `tchar`).
auto is_name_byte(unsigned char c) -> bool
{
    constexpr auto marks = std::string_view{"!#$%&'*+-.^_`|~"};
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') ||
           marks.find(static_cast<char>(c)) != std::string_view::npos;
}

/// Names of a field with one byte before, in or after a valid name.
auto names_with(char c) -> std::vector<std::string>
{
    return {std::string{c} + "X-A", std::string{"X"} + c + "A",
        std::string{"X-A"} + c, std::string{c}};
}

} // namespace

TEST_CASE("http: requests are parsed however their bytes are split")
{
    for (std::size_t n = 1; n < 40; ++n)
    {
        auto r = ks::http_reader{ks::message_kind::request, {}};
        auto const all = read_all(r, two_requests, n);
        REQUIRE(all.size() == 2);
        CHECK(all[0].target == "/a?b");
        CHECK(ks::find_field(all[0], "x-a") == "1");
        CHECK(all[1].method == "POST");
        CHECK(all[1].body == "abcde");
    }
}

TEST_CASE("http: request smuggling and malformed requests are refused")
{
    CHECK(is_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(is_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Content-Length: 4\r\n\r\nabcd"));
    CHECK(is_refused("POST / HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n"));
    CHECK(is_refused("GET / HTTP/1.1\r\nHost : h\r\n\r\n"));
    CHECK(is_refused("nonsense\r\n\r\n"));
}

TEST_CASE("http: an upgrade does not hide the request that follows")
{
    auto r = ks::http_reader{ks::message_kind::request, {}};
    auto const all = read_all(r,
        "POST /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
        "Upgrade: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n"
        "Host: h\r\n\r\n",
        1'000);
    REQUIRE(all.size() == 2);
    CHECK(all[0].body == "abc");
    CHECK(all[1].target == "/b");
}

TEST_CASE("http: too large headers and bodies give distinct errors")
{
    auto r = ks::http_reader{ks::message_kind::request, {64, 8}};
    read_all(
        r, "GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n", 30);
    CHECK(r.error() == ks::read_error::header_too_large);
    auto b = ks::http_reader{ks::message_kind::request, {64, 8}};
    read_all(b, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789", 100);
    CHECK(b.error() == ks::read_error::body_too_large);
}

TEST_CASE("http: a response without a length ends when its connection closes")
{
    auto r = ks::http_reader{ks::message_kind::response, {}};
    r.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc");
    CHECK(!r.is_complete());
    r.end();
    REQUIRE(r.is_complete());
    auto const m = r.take();
    CHECK(m.body == "abc");
    CHECK(!m.keep_alive);
}

TEST_CASE("http: a truncated response is never complete")
{
    for (auto const* text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
             "HTTP/1.1 200 OK\r\nX: y", "HTT"})
    {
        auto r = ks::http_reader{ks::message_kind::response, {}};
        r.feed(text);
        r.end();
        CHECK(!r.is_complete());
    }
}

TEST_CASE("http: interim responses are skipped")
{
    auto r = ks::http_reader{ks::message_kind::response, {}};
    r.feed("HTTP/1.1 100 Continue\r\n\r\n"
           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    REQUIRE(r.is_complete());
    CHECK(r.take().status == 200);
}

TEST_CASE("http: a response without a valid status is malformed")
{
    for (std::string const status : {"000", "001", "099", "00", "0", "20",
             "600", "999", "1000", "2x0", "-20", "", "+200"})
    {
        CAPTURE(status);
        CHECK(is_refused(
            "HTTP/1.1 " + status + " OK\r\nContent-Length: 1\r\n\r\nx",
            ks::message_kind::response));
    }
    for (auto const status : {200u, 299u, 404u, 599u})
    {
        auto r = ks::http_reader{ks::message_kind::response, {}};
        r.feed("HTTP/1.1 " + std::to_string(status) +
               " OK\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(r.is_complete());
        CHECK(r.take().status == status);
    }
}

TEST_CASE(
    "http: a byte that no field's name may hold is malformed, in the head "
    "and after the body")
{
    auto const heads = std::vector<std::pair<ks::message_kind, std::string>>{
        {ks::message_kind::response, "HTTP/1.1 200 OK\r\n"},
        {ks::message_kind::request, "POST / HTTP/1.1\r\nHost: h\r\n"}};
    for (auto const& [kind, start] : heads)
        for (auto i = 0; i < 256; ++i)
        {
            auto const c = static_cast<char>(i);
            // These bytes end a line, or the name.
            if (is_name_byte(static_cast<unsigned char>(i)) || c == '\r' ||
                c == '\n' || c == ':')
                continue;
            for (auto const& name : names_with(c))
            {
                CAPTURE(i);
                CAPTURE(name.size());
                CHECK(is_refused(
                    start + name + ": 1\r\nContent-Length: 1\r\n\r\nx", kind));
                CHECK(is_refused(start + "Transfer-Encoding: chunked\r\n\r\n" +
                                     "1\r\nx\r\n0\r\n" + name + ": 1\r\n\r\n",
                    kind));
            }
        }
}

TEST_CASE("http: a field that continues on another line is malformed")
{
    auto const heads = std::vector<std::pair<ks::message_kind, std::string>>{
        {ks::message_kind::response, "HTTP/1.1 200 OK\r\n"},
        {ks::message_kind::request, "POST / HTTP/1.1\r\nHost: h\r\n"}};
    for (auto const& [kind, start] : heads)
        for (std::string const field :
            {"X-A: 1\r\n Content-Length: 9", "X-A:\r\n\tb", "X-A: \r\n \r\n b",
                "X-A: 1\r\n\t X-B: 2", "X-A: 1\n b"})
        {
            CAPTURE(field);
            CHECK(is_refused(
                start + field + "\r\nContent-Length: 1\r\n\r\nx", kind));
            CHECK(is_refused(start + "Transfer-Encoding: chunked\r\n\r\n" +
                                 "1\r\nx\r\n0\r\n" + field + "\r\n\r\n",
                kind));
        }
}

TEST_CASE("http: blanks around and in a field's value are accepted")
{
    auto const text =
        std::string{"HTTP/1.1 200 OK\r\nX-A:   a b\t c  \r\nX-B:\r\nX-C: \t\r\n"
                    "Content-Length: 3\r\n\r\n\n x"};
    for (std::size_t n = 1; n <= text.size(); ++n)
    {
        CAPTURE(n);
        auto r = ks::http_reader{ks::message_kind::response, {}};
        auto const all = read_all(r, text + text, n);
        REQUIRE(all.size() == 2);
        for (auto const& it : all)
        {
            CHECK(ks::find_field(it, "X-A").starts_with("a b\t c"));
            CHECK(ks::find_field(it, "X-B").empty());
            CHECK(ks::find_field(it, "X-C").empty());
            CHECK(it.body == "\n x");
        }
    }
}

// Guards against TWICE: a field after the body said that nothing had run.
TEST_CASE("http: fields after the body are not taken for fields of the head")
{
    auto const body = std::string{
        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-B: 2\r\n"
        "X-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 7\r\n\r\n"};
    auto const heads = std::vector<std::pair<ks::message_kind, std::string>>{
        {ks::message_kind::response, "HTTP/1.1 200 OK\r\nX-A: 1\r\n"},
        {ks::message_kind::request, "POST / HTTP/1.1\r\nX-A: 1\r\n"}};
    for (auto const& [kind, start] : heads)
        for (auto const n : {std::size_t{1}, std::size_t{1'000}})
        {
            auto r = ks::http_reader{kind, {}};
            auto const all = read_all(r, start + body + start + body, n);
            REQUIRE(all.size() == 2);
            for (auto const& it : all)
            {
                CHECK(it.fields == std::vector<ks::header_field>{{"X-A", "1"},
                                       {"Transfer-Encoding", "chunked"}});
                CHECK(it.body == "x");
            }
        }
}
