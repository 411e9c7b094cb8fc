/// Tests of real processes: entries of another writer in the store, and answers
/// of targets that are no valid HTTP.
#include "adapter/http_link.hpp"
#include "processes.hpp"

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

    /// Writes an entry that names no usable target; false if refused.
    auto write_odd_entry(std::string const& name) const -> bool
    {
        auto const body = json::object{
            {"meta", json::object{{"name", name}}}, {"spec", json::object{}}};
        return wait_for(seconds{10},
            [&]
            {
                return send_http(address(0), EVHTTP_REQ_POST,
                           "/objects/servers", json::serialize(body))
                           .status == 200;
            });
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

    /// Status of the answer to a routed request; 0 if there was none.
    auto ask(std::string const& path) const -> std::uint32_t
    {
        auto m = http_message{};
        m.method = "GET";
        m.target = path;
        m.fields = {{"Host", "h.example"}, {"X-Request-Id", "q1"},
            {"X-Request-Deadline", "1000"}};
        auto const base = make_event_base();
        auto status = std::uint32_t{0};
        auto const stop = [&]
        {
            event_base_loopbreak(base.get());
        };
        auto link = http_link{base.get(), address(10), {}, {},
            {{},
                [&](http_message&& it, bool)
                {
                    status = it.status;
                    stop();
                },
                [&](link_end)
                {
                    stop();
                }}};
        link.send(request_text(m));
        event_base_dispatch(base.get());
        return status;
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
