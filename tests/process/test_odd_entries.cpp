/// Tests of real processes: entries of another writer in the store, and answers
/// of targets that are no valid HTTP.
#include "routed_cluster.hpp"
#include "unit/scripted_target.hpp"

#include <doctest/doctest.h>

using namespace processes;

namespace
{

/// Writes an entry that names no usable target; false if refused.
auto write_odd_entry(routed_cluster const& c, std::string const& name) -> bool
{
    return c.create("servers", name, {});
}

/// Sends `/odd/` to the only target of a service of its own.
auto add_route_to(routed_cluster const& c, std::string const& target_address)
    -> bool
{
    auto const route = json::object{{"name", "odd"}, {"hostname", "h.example"},
        {"path_prefix", "/odd/"}, {"route_type", "safe"}, {"timeout_ms", 1'000},
        {"service", "odd"}};
    auto const config =
        json::object{{"version", 2}, {"routes", json::array{route}},
            {"services", json::array{json::object{
                             {"name", "odd"}, {"max_connections", 10}}}}};
    auto const target = json::object{{"service", "odd"},
        {"address", target_address}, {"zone", "a"}, {"version", "v1"},
        {"slots", 2}, {"state", "ready"}, {"sequence", 1}};
    return c.create("servers", "odd-1", target) &&
           c.replace("config", "main", config);
}

} // namespace

// Guards against RECOVER: the list never ended, or skipped the entries after.
TEST_CASE(
    "an instance that starts serves all requests whatever the name of the "
    "last entry on a page")
{
    constexpr auto entries_before = 49; // The store's pages hold 50 entries.
    auto port = std::uint16_t{25'600};
    for (std::string const name : {"s&watch=1", "s+", "s#", "t%7A", "s x", "s/",
             "s\x01\r\n", "s\xc3\xa9"})
    {
        CAPTURE(name);
        auto c = routed_cluster{port};
        port += 20;
        for (auto i = 0; i < entries_before; ++i)
            REQUIRE(write_odd_entry(c, "a" + std::to_string(i)));
        REQUIRE(write_odd_entry(c, name));
        c.start_instance();
        CHECK(wait_for(seconds{5}, [&] { return c.is_ready(); }));
        for (auto i = 0; i < 10; ++i)
        {
            CHECK(c.ask("/one/x") == 200);
            CHECK(c.ask("/all/x") == 200);
        }
    }
}

TEST_CASE("an answer of a target that is no valid HTTP does not reach a client")
{
    auto const fields =
        std::string{"X-Server-Stamp: s\r\nX-Request-Id: q1\r\n"};
    auto const rest = std::string{"Content-Length: 4\r\n\r\nabcd"};
    auto const head = "HTTP/1.1 200 OK\r\n" + fields;
    auto const chunked =
        std::string{"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n"};
    auto const base = make_event_base();
    auto target = scripted::scripted_target{base.get(), {head + rest, ""}};
    auto c = routed_cluster{25'800};
    REQUIRE(add_route_to(c, scripted::address));
    c.start_instance();
    REQUIRE(wait_for(seconds{5}, [&] { return c.is_ready(); }));
    // True if the client got something of an answer that the target has given.
    auto const is_passed_on = [&](std::string const& answer)
    {
        target.set_script({answer, ""});
        auto const before = target.written;
        auto m = http_message{};
        CHECK(wait_for(seconds{10},
            [&]
            {
                m = c.answer_to(base.get(), "/odd/x");
                return target.written > before;
            }));
        return m.status < 500 || m.body == "abcd" ||
               has_field(m, "X-Server-Stamp") || has_field(m, "X-A");
    };
    for (auto const& answer :
        std::vector<std::string>{"HTTP/1.1 000 OK\r\n" + fields + rest,
            "HTTP/1.1 099 OK\r\n" + fields + rest,
            "HTTP/1.1 999 OK\r\n" + fields + rest, head + "X A: 1\r\n" + rest,
            head + "X-A : 1\r\n" + rest, head + " X-A: 1\r\n" + rest,
            head + "X\x01-A: 1\r\n" + rest, head + "X-A\x7f: 1\r\n" + rest,
            head + "\tX-A: 1\r\n" + rest,
            head + "Content-Length : 2\r\n" + "\r\nabcd",
            head + " Content-Length: 2\r\n" + "\r\nabcd",
            head + chunked + "X A: 1\r\n\r\n",
            head + chunked + "X-A : 1\r\n\r\n",
            head + chunked + " X-A: 1\r\n\r\n",
            head + chunked + "X\x01: 1\r\n\r\n"})
    {
        CAPTURE(answer);
        CHECK(!is_passed_on(answer));
    }
    CHECK(is_passed_on(head + rest));
}

TEST_CASE("a customer template is applied and read back whatever its name")
{
    auto const dir = std::filesystem::temp_directory_path() /
                     ("ks-test-" + std::to_string(getpid()) + "-apply");
    std::filesystem::create_directories(dir);
    auto const platform = process{
        {KS_STANDIN, "platform", "--port", "25900"}, (dir / "p.log").string()};
    REQUIRE(wait_for(seconds{10},
        []
        {
            return send_http("127.0.0.1:25900", EVHTTP_REQ_GET, "/v1/instances")
                       .status == 200;
        }));
    auto n = 0;
    for (std::string const name :
        {"a", "100A", "a b", "a&b", "a/b", "a?b", "100%41"})
    {
        CAPTURE(name);
        auto const path = (dir / "template.ini").string();
        std::ofstream{path} << "[customer]\nname = " << name
                            << "\n[service s]\nshards = 1\n[target s t]\n"
                               "address = 127.0.0.1:9\nzone = a\nshard = 0\n";
        for (std::string const expected : {"accepted", "unchanged"})
        {
            auto const log = (dir / (std::to_string(++n) + ".log")).string();
            auto apply = process{
                {KS_BINARY, "apply", path, "--platform", "127.0.0.1:25900"},
                log};
            CHECK(apply.exit_code(seconds{10}) == 0);
            auto line = std::string{};
            auto in = std::ifstream{log};
            while (std::getline(in, line) && !line.starts_with(expected))
                continue;
            CHECK(line == expected + " customer=" + name + " version=1");
        }
    }
    std::filesystem::remove_all(dir);
}
