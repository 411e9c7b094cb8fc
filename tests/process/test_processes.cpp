/// Tests of real processes on loopback under SIGKILL, SIGSTOP, SIGTERM and
/// platform outages. They measure no times; they wait for conditions, with long
/// timeouts.
#include "processes.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/stat.h>

#include <array>
#include <csignal>

using namespace processes;

TEST_CASE("queries and bookings are served by three instances in two zones")
{
    auto c = cluster{23'000};
    REQUIRE(c.start(4, 2, 3));
    for (auto n = 0; n < 12; ++n)
        CHECK(c.query_completes(n % 3, "q" + std::to_string(n % 4)));
    for (auto n = 0; n < 6; ++n)
    {
        auto const r = c.book(n % 3, "key-" + std::to_string(n / 3));
        CHECK(r.status == 200);
    }
    CHECK(c.run_count("key-0") == 1);
    CHECK(c.run_count("key-1") == 1);
}

TEST_CASE("a killed or paused instance does not affect answers of the others")
{
    auto c = cluster{23'200};
    REQUIRE(c.start(4, 2, 3));
    c.instances[2]->send(SIGKILL);
    for (auto n = 0; n < 8; ++n)
        CHECK(c.query_completes(n % 2, "q" + std::to_string(n)));
    c.instances.erase(2);
    c.start_instance(2);
    REQUIRE(wait_for(seconds{20},
        [&] {
            return c.ready(2) && c.peer_count(0) == 2 && c.peer_count(2) == 2;
        }));
    c.instances[1]->send(SIGSTOP);
    for (auto n = 0; n < 8; ++n)
        CHECK(c.query_completes(n % 2 == 0 ? 0 : 2, "r" + std::to_string(n)));
    c.instances[1]->send(SIGCONT);
    REQUIRE(wait_for(seconds{20}, [&] { return c.peer_count(0) == 2; }));
    CHECK(c.query_completes(1, "after"));
}

TEST_CASE(
    "killed leafs: the other replica answers, missing shards are reported")
{
    auto c = cluster{23'400};
    REQUIRE(c.start(3, 2, 2));
    for (auto n = 0; n < 4; ++n)
        CHECK(c.query_completes(n % 2, "q" + std::to_string(n)));
    c.leafs[0]->send(SIGKILL);
    c.leafs[2]->send(SIGSTOP);
    for (auto n = 0; n < 8; ++n)
        CHECK(c.query_completes(n % 2, "q" + std::to_string(n % 4)));
    c.leafs[1]->send(SIGKILL);
    auto const shard_missing = wait_for(seconds{5},
        [&]
        {
            auto const r = c.query(0, "q0");
            return r.status == 200 &&
                   r.body.find("\"missing\":[{\"shard\":0,") !=
                       std::string::npos;
        });
    CHECK(shard_missing);
    c.leafs[2]->send(SIGCONT);
    c.leafs[0].reset();
    c.start_leaf(0);
    CHECK(wait_for(seconds{10}, [&] { return c.query_completes(0, "q0"); }));
}

TEST_CASE(
    "SIGTERM to one instance after another: exit 0, no request interrupted")
{
    auto c = cluster{23'600};
    REQUIRE(c.start(3, 2, 3));
    for (auto i = 0; i < 3; ++i)
    {
        for (auto n = 0; n < 3; ++n)
            CHECK(c.query_completes((i + n) % 3, "q" + std::to_string(n)));
        c.instances[i]->send(SIGTERM);
        // It still serves requests until the load balancer stops sending them.
        CHECK(c.query_completes(i, "q1"));
        c.instances[i]->send(SIGTERM);
        CHECK(c.query_completes(i, "q2"));
        CHECK(wait_for(seconds{5},
            [&]
            {
                return send_http(
                           c.instance_address(i), EVHTTP_REQ_GET, "/health")
                           .status != 200;
            }));
        CHECK(c.instances[i]->exit_code(seconds{20}) == 0);
        c.start_instance(i);
        REQUIRE(wait_for(
            seconds{20}, [&] { return c.ready(i) && c.peer_count(i) == 2; }));
    }
}

TEST_CASE("bookings run at most once despite kills and a lost reply to a claim")
{
    auto c = cluster{23'800};
    REQUIRE(c.start(2, 2, 3));
    c.control(c.platform_address(), "lose=1");
    CHECK(c.book(0, "lost-answer").status != 0);
    CHECK(wait_for(
        seconds{10}, [&] { return c.book(1, "lost-answer").status == 200; }));
    CHECK(c.run_count("lost-answer") == 1);
    for (auto n = 0; n < 6; ++n)
    {
        auto const key = "kill-" + std::to_string(n);
        c.book(0, key);
        if (n == 2)
            c.instances[1]->send(SIGKILL);
        if (n == 4)
            c.instances[2]->send(SIGSTOP);
        c.book(0, key);
    }
    c.instances[2]->send(SIGCONT);
    for (auto n = 0; n < 6; ++n)
        CHECK(c.run_count("kill-" + std::to_string(n)) <= 1);
}

TEST_CASE("a platform outage: queries are served, bookings are refused without "
          "running, and a new configuration takes effect afterwards")
{
    auto c = cluster{24'000};
    REQUIRE(c.start(2, 2, 2));
    REQUIRE(!c.control(c.platform_address(), "down=1").empty());
    for (auto n = 0; n < 4; ++n)
        CHECK(c.query_completes(n % 2, "q" + std::to_string(n)));
    auto const r = c.book(0, "outage");
    CHECK(r.status == 503);
    CHECK(r.body.find("platform_unavailable") != std::string::npos);
    CHECK(c.run_count("outage") == 0);
    c.control(c.platform_address(), "down=0");
    c.publish(c.configuration({{"max_queries", 9}}));
    auto const in_force = [&](int i)
    {
        return send_http(c.instance_address(i), EVHTTP_REQ_GET, "/v1/status")
                   .body.find("\"version\":2") != std::string::npos;
    };
    CHECK(wait_for(seconds{12}, [&] { return in_force(0) && in_force(1); }));
    CHECK(c.run_count("outage") == 0);
}

TEST_CASE("a stop request that arrives while an instance starts is carried "
          "out, exit 0")
{
    for (auto const routed : {false, true})
    {
        auto const path = "/tmp/ks-start-" + std::to_string(getpid()) + ".ini";
        REQUIRE(mkfifo(path.c_str(), 0600) == 0);
        auto instance = process{{KS_BINARY, "run", path}, "/dev/null"};
        {
            // Opens once the instance has begun to read its settings.
            auto settings = std::ofstream{path};
            instance.send(SIGTERM);
            settings << "[instance]\nname = a\nzone = z\n"
                     << (routed ? "front_end = routes\nregion = r\n" : "")
                     << "caller_address = 127.0.0.1:24990\n"
                     << (routed ? "ready" : "peer")
                     << "_address = 127.0.0.1:24991\n"
                     << "platform_address = 127.0.0.1:24992\n";
        }
        // It has nothing to finish, so it needs no part of its grace period.
        CHECK(instance.exit_code(seconds{2}) == 0);
        std::filesystem::remove(path);
    }
}

TEST_CASE("invalid input gets a specific error, valid queries are still served")
{
    auto c = cluster{24'200};
    REQUIRE(c.start(2, 1, 1));
    auto const to = c.instance_address(0);
    auto const post = [&](std::string const& path, std::string const& body)
    {
        return send_http(to, EVHTTP_REQ_POST, path, body);
    };
    CHECK(post("/v1/query", "nonsense").status == 400);
    CHECK(post("/v1/query", R"({"customer":"x","service":"s"})")
              .body.find("unknown_customer") != std::string::npos);
    CHECK(post("/v1/query", R"({"customer":"c","service":"x"})")
              .body.find("unknown_service") != std::string::npos);
    CHECK(post("/v1/query", R"({"customer":"c","service":"s","deadline_ms":1})")
              .status == 400);
    CHECK(post("/v1/query", std::string(200'000, 'x')).status == 413);
    CHECK(post("/v1/query", std::string(2'000'000, 'x')).status != 200);
    CHECK(post("/v1/bookings", R"({"customer":"c","service":"s"})").status ==
          400);
    CHECK(send_http(to, EVHTTP_REQ_GET, "/v1/query").status == 405);
    CHECK(send_http(to, EVHTTP_REQ_GET, "/nothing").status == 404);
    namespace ip = boost::asio::ip;
    for (auto const* raw : {"garbage\r\n\r\n", "GET\0/ HTTP/9.9\r\n\r\n",
             "POST /v1/query HTTP/1.1\r\nContent-Length: -5\r\n\r\n{}"})
    {
        auto io = boost::asio::io_context{};
        auto socket = ip::tcp::socket{io};
        auto const at = split_address(to);
        socket.connect({ip::make_address(at.host), at.port});
        boost::asio::write(socket, boost::asio::buffer(std::string{raw}));
        socket.close();
    }
    CHECK(c.query_completes(0, "still"));
    // Exit code 2: required settings are missing. 1: the port is in use.
    auto without_settings =
        process{{KS_BINARY, "run", "/dev/null"}, "/dev/null"};
    CHECK(without_settings.exit_code(seconds{10}) == 2);
    auto port_in_use =
        process{{KS_BINARY, "run", c.settings_path(0)}, "/dev/null"};
    CHECK(port_in_use.exit_code(seconds{10}) == 1);
}

TEST_CASE(
    "an instance without a platform starts, is not ready and waits for it")
{
    auto c = cluster{24'400};
    c.control(c.platform_address(), "down=1");
    c.start_leafs(1, 1);
    c.start_instance(0);
    REQUIRE(wait_for(seconds{10},
        [&]
        {
            return send_http(c.instance_address(0), EVHTTP_REQ_GET, "/health")
                       .status == 503;
        }));
    CHECK(c.query(0, "x").body.find("unknown_customer") != std::string::npos);
    c.control(c.platform_address(), "down=0");
    REQUIRE(wait_for(seconds{10},
        [&] { return c.publish(c.configuration()).status == 200; }));
    CHECK(wait_for(seconds{20}, [&] { return c.ready(0); }));
    CHECK(c.query_completes(0, "x"));
}

TEST_CASE(
    "two replays of a record of events give the same output, byte for byte")
{
    auto c = cluster{24'600};
    c.start_leafs(2, 2);
    auto const record = c.path("e0.rec");
    c.start_instance(0, "record_path = " + record + "\n");
    REQUIRE(wait_for(seconds{10},
        [&] { return c.publish(c.configuration()).status == 200; }));
    REQUIRE(wait_for(seconds{20}, [&] { return c.ready(0); }));
    for (auto n = 0; n < 5; ++n)
        CHECK(c.query_completes(0, "q" + std::to_string(n)));
    c.book(0, "k");
    c.instances[0]->send(SIGTERM);
    REQUIRE(c.instances[0]->exit_code(seconds{20}) == 0);
    auto text = std::array<std::string, 2>{};
    for (auto i = 0; i < 2; ++i)
    {
        auto const out = c.path("replay" + std::to_string(i));
        auto p = process{{KS_REPLAY, record}, out};
        REQUIRE(p.exit_code(seconds{20}) == 0);
        auto in = std::ifstream{out};
        text[static_cast<std::size_t>(i)] =
            std::string{std::istreambuf_iterator<char>{in}, {}};
    }
    CHECK(text[0].size() > 1'000);
    CHECK(text[0] == text[1]);
}

TEST_CASE("a zone taken out and a version rolled out through the platform")
{
    auto c = cluster{24'800};
    REQUIRE(c.start(2, 2, 2));
    CHECK(c.query_completes(0, "a"));
    c.publish(c.configuration({{"zones_out", json::array{"z1"}}}));
    auto const status_contains = [&](int i, char const* text)
    {
        return send_http(c.instance_address(i), EVHTTP_REQ_GET, "/v1/status")
                   .body.find(text) != std::string::npos;
    };
    REQUIRE(wait_for(seconds{12},
        [&]
        {
            return status_contains(0, "\"version\":2") &&
                   status_contains(1, "\"version\":2");
        }));
    auto const received = [&](int i)
    {
        return c.control(c.leaf_address(i), "").at("received").as_int64();
    };
    auto const before = received(1) + received(3);
    for (auto n = 0; n < 10; ++n)
        CHECK(c.query_completes(n % 2, "b" + std::to_string(n)));
    CHECK(received(1) + received(3) == before);
    // The zone is restored, and the service moves from version v0 to v1, which
    // the second replicas run.
    c.publish(c.configuration({{"rollout",
        json::object{{"id", 1}, {"from", "v0"}, {"to", "v1"},
            {"steps_percent", json::array{50}}, {"duration_ms", 1'500}}}}));
    CHECK(wait_for(seconds{20},
        [&]
        {
            c.query_completes(0, "c");
            return status_contains(0, "\"state\":\"done\"") &&
                   status_contains(1, "\"state\":\"done\"");
        }));
}
