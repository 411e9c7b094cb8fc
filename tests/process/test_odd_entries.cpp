/// Tests of real processes: entries of another writer in the store, and answers
/// of targets that are no valid HTTP.
#include "adapter/http_link.hpp"
#include "processes.hpp"
#include "unit/scripted_target.hpp"

#include <doctest/doctest.h>

using namespace processes;

namespace
{

/// A store and targets (in one process) and one instance for routed requests.
class routed_pair
{
public:
    explicit routed_pair(std::uint16_t first_port) : first_port_(first_port)
    {
        auto const name = "ks-test-" + std::to_string(getpid()) + "-" +
                          std::to_string(first_port);
        dir_ = std::filesystem::temp_directory_path() / name;
        std::filesystem::create_directories(dir_);
        deployment_ = std::make_unique<process>(
            std::vector<std::string>{KS_STANDIN, "routed", "--port",
                std::to_string(first_port), "--shards", "2", "--replicas", "2"},
            (dir_ / "deployment.log").string());
    }

    ~routed_pair()
    {
        instance_.reset();
        deployment_.reset();
        if (std::getenv("KS_KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(dir_);
    }

    routed_pair(routed_pair const&) = delete;
    auto operator=(routed_pair const&) -> routed_pair& = delete;

    /// Creates an object in the store; false if that is refused.
    auto create(std::string const& kind, std::string const& name,
        json::object const& spec) const -> bool
    {
        auto const body = json::object{
            {"meta", json::object{{"name", name}}}, {"spec", spec}};
        return wait_for(seconds{10},
            [&]
            {
                return send_http(address(0), EVHTTP_REQ_POST,
                           "/objects/" + kind, json::serialize(body))
                           .status == 200;
            });
    }

    /// Writes an entry that names no usable target; false if refused.
    auto write_odd_entry(std::string const& name) const -> bool
    {
        return create("servers", name, {});
    }

    /// Sends `/odd/` to the only target of a service of its own.
    auto add_route_to(std::string const& target_address) const -> bool
    {
        auto const route = json::object{{"name", "odd"},
            {"hostname", "h.example"}, {"path_prefix", "/odd/"},
            {"route_type", "safe"}, {"timeout_ms", 1'000}, {"service", "odd"}};
        auto const config =
            json::object{{"version", 2}, {"routes", json::array{route}},
                {"services", json::array{json::object{
                                 {"name", "odd"}, {"max_connections", 10}}}}};
        auto const target = json::object{{"service", "odd"},
            {"address", target_address}, {"zone", "a"}, {"version", "v1"},
            {"slots", 2}, {"state", "ready"}, {"sequence", 1}};
        auto const body = json::object{
            {"meta", json::object{{"name", "main"}}}, {"spec", config}};
        return create("servers", "odd-1", target) &&
               send_http(address(0), EVHTTP_REQ_PUT, "/objects/config/main",
                   json::serialize(body))
                       .status == 200;
    }

    auto start_instance() -> void
    {
        auto const path = (dir_ / "i.ini").string();
        std::ofstream{path}
            << "[instance]\nfront_end = routes\nname = i0\nzone = a\n"
            << "region = ra\ncaller_address = " << address(10)
            << "\nready_address = " << address(11)
            << "\nplatform_address = " << address(0)
            << "\n[zones]\na = ra\nb = rb\nc = rc\n";
        instance_ = std::make_unique<process>(
            std::vector<std::string>{KS_BINARY, "run", path},
            (dir_ / "i.log").string());
    }

    auto is_ready() const -> bool
    {
        return send_http(address(11), EVHTTP_REQ_GET, "/readiness").status ==
               200;
    }

    /// Answer to a routed request; its status is 0 if there was none.
    auto answer_to(event_base* base, std::string const& path) const
        -> http_message
    {
        auto m = http_message{};
        m.method = "GET";
        m.target = path;
        m.fields = {{"Host", "h.example"}, {"X-Request-Id", "q1"},
            {"X-Request-Deadline", "1000"}};
        auto answer = http_message{};
        auto const stop = [&]
        {
            event_base_loopbreak(base);
        };
        auto link = http_link{base, address(10), {}, {},
            {{},
                [&](http_message&& it, bool)
                {
                    answer = std::move(it);
                    stop();
                },
                [&](link_end)
                {
                    stop();
                }}};
        link.send(request_text(m));
        event_base_dispatch(base);
        return answer;
    }

    /// Status of the answer to a routed request; 0 if there was none.
    auto ask(std::string const& path) const -> std::uint32_t
    {
        return answer_to(make_event_base().get(), path).status;
    }

private:
    auto address(int offset) const -> std::string
    {
        return "127.0.0.1:" + std::to_string(first_port_ + offset);
    }

    std::uint16_t first_port_;
    std::filesystem::path dir_;
    std::unique_ptr<process> deployment_;
    std::unique_ptr<process> instance_;
};

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
        auto c = routed_pair{port};
        port += 20;
        for (auto i = 0; i < entries_before; ++i)
            REQUIRE(c.write_odd_entry("a" + std::to_string(i)));
        REQUIRE(c.write_odd_entry(name));
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
    auto c = routed_pair{25'800};
    REQUIRE(c.add_route_to(scripted::address));
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
