/// Tests of real processes: the platform comes back from an older copy of its
/// data, and the operator writes again what was lost.
#include "processes.hpp"
#include "unit/scripted_target.hpp"

#include <doctest/doctest.h>

using namespace processes;

namespace
{

/// Bound for a configuration to be in force everywhere.
constexpr auto config_bound = seconds{5};
constexpr auto early = milliseconds{500}; ///< After the platform's return.
constexpr auto late = milliseconds{5'000};

/// Instances that serve queries while their platform loses data.
class restored_cluster
{
public:
    /// Starts two shards with two replicas, and two instances; the
    /// configuration reaches version 4.
    explicit restored_cluster(std::uint16_t first_port) : c(first_port)
    {
        REQUIRE(c.start(2, 2, 2));
        for (auto i = 2; i <= 4; ++i)
        {
            REQUIRE(publish(c.configuration({{"max_queries", 100 + i}})));
            REQUIRE(wait_for(config_bound, [&] { return has_version(i); }));
        }
    }

    auto publish(std::string const& config) const -> bool
    {
        return c.publish(config).status == 200;
    }

    /// Takes the platform away and brings it back without its last writes.
    auto restore(int lost_writes) const -> void
    {
        REQUIRE(!control("down=1").empty());
        std::this_thread::sleep_for(milliseconds{200});
        REQUIRE(!control("restore=" + std::to_string(lost_writes)).empty());
        REQUIRE(!control("down=0").empty());
    }

    /// Sends queries to all instances; counts those that lack shards.
    ///
    /// @returns Number of requests that the leaf got meanwhile.
    auto received_during_queries(int leaf) -> std::int64_t
    {
        constexpr auto queries = 100; // A used replica gets some of them.
        auto const before = received(leaf);
        for (auto i = 0; i < queries; ++i)
            incomplete +=
                c.query_completes(i % 2, "q" + std::to_string(++sent)) ? 0 : 1;
        return received(leaf) - before;
    }

    /// Configuration with the replica 1 of shard 0 left out.
    auto without_target() const -> std::string
    {
        auto o = json::parse(c.configuration());
        auto& service = o.as_object()["services"].as_array()[0];
        auto& targets = service.as_object()["targets"].as_array();
        targets.erase(targets.begin() + changed_leaf);
        return json::serialize(o);
    }

    /// True if all instances use this version of the configuration.
    auto has_version(int version) const -> bool
    {
        auto const text = "\"version\":" + std::to_string(version);
        auto all = true;
        for (auto i = 0; i < 2; ++i)
            all = all &&
                  send_http(c.instance_address(i), EVHTTP_REQ_GET, "/v1/status")
                          .body.find(text) != std::string::npos;
        return all;
    }

    auto control(std::string const& what) const -> json::object
    {
        return c.control(c.platform_address(), what);
    }

    static constexpr auto changed_leaf = 1;

    cluster c;
    int sent = 0;       ///< Queries.
    int incomplete = 0; ///< Queries whose answer lacked shards.

private:
    auto received(int leaf) const -> std::int64_t
    {
        return c.control(c.leaf_address(leaf), "")
            .at("received")
            .to_number<std::int64_t>();
    }
};

} // namespace

TEST_CASE("restored platform: a target that is removed afterwards gets no "
          "requests")
{
    auto port = std::uint16_t{28'100};
    for (auto const after : {early, late})
    {
        CAPTURE(after.count());
        auto r = restored_cluster{port};
        port += 10;
        r.restore(2);
        std::this_thread::sleep_for(after);
        CHECK(r.received_during_queries(r.changed_leaf) > 0);
        REQUIRE(r.publish(r.without_target()));
        CHECK(wait_for(config_bound,
            [&]
            {
                return r.has_version(3) &&
                       r.received_during_queries(r.changed_leaf) == 0;
            }));
        CHECK(r.incomplete == 0);
    }
}

TEST_CASE("restored platform: a target that joins afterwards gets requests")
{
    auto port = std::uint16_t{28'300};
    for (auto const after : {early, late})
    {
        CAPTURE(after.count());
        auto r = restored_cluster{port};
        port += 10;
        REQUIRE(r.publish(r.without_target()));
        REQUIRE(wait_for(config_bound,
            [&] { return r.received_during_queries(r.changed_leaf) == 0; }));
        r.restore(2);
        std::this_thread::sleep_for(after);
        CHECK(r.received_during_queries(r.changed_leaf) == 0);
        REQUIRE(r.publish(r.c.configuration({{"max_queries", 99}})));
        CHECK(wait_for(config_bound,
            [&] {
                return r.has_version(4) &&
                       r.received_during_queries(r.changed_leaf) > 0;
            }));
        CHECK(r.incomplete == 0);
    }
}

TEST_CASE("restored platform: a zone that is taken out afterwards gets no "
          "requests")
{
    auto port = std::uint16_t{28'500};
    for (auto const after : {early, late})
    {
        CAPTURE(after.count());
        auto r = restored_cluster{port};
        port += 10;
        r.restore(2);
        std::this_thread::sleep_for(after);
        REQUIRE(
            r.publish(r.c.configuration({{"zones_out", json::array{"z1"}}})));
        CHECK(wait_for(config_bound,
            [&]
            {
                return r.has_version(3) &&
                       r.received_during_queries(r.changed_leaf) == 0;
            }));
        CHECK(r.incomplete == 0);
    }
}

TEST_CASE("restored platform: a configuration is applied though more was "
          "written than lost")
{
    auto r = restored_cluster{28'520};
    REQUIRE(!r.control("down=1").empty());
    REQUIRE(!r.control("restore=2").empty());
    REQUIRE(!r.control("slow_ms=0").empty());
    REQUIRE(!r.control("down=0").empty());
    REQUIRE(r.publish(r.without_target()));
    for (auto i = 0; i < 6; ++i)
        REQUIRE(send_http(r.c.platform_address(), EVHTTP_REQ_PUT,
                    "/v1/objects/customer/other" + std::to_string(i),
                    R"({"name":"other)" + std::to_string(i) + "\"}")
                    .status == 200);
    CHECK(wait_for(config_bound,
        [&]
        {
            return r.has_version(3) &&
                   r.received_during_queries(r.changed_leaf) == 0;
        }));
    CHECK(r.incomplete == 0);
}

TEST_CASE("restored platform: the configuration in force does not go back "
          "while the operator has not written again")
{
    auto r = restored_cluster{28'700};
    REQUIRE(r.publish(r.without_target()));
    REQUIRE(wait_for(config_bound,
        [&] { return r.received_during_queries(r.changed_leaf) == 0; }));
    r.restore(1);
    auto const end = steady_now() + late;
    while (steady_now() < end)
        CHECK(r.received_during_queries(r.changed_leaf) == 0);
    REQUIRE(r.publish(r.without_target()));
    CHECK(r.received_during_queries(r.changed_leaf) == 0);
    CHECK(r.incomplete == 0);
}

TEST_CASE("restored platform: a booking that ran before the loss does not run "
          "again")
{
    auto r = restored_cluster{28'710};
    REQUIRE(r.c.book(0, "lost").status == 200);
    r.restore(2);
    // Some of these are stored together with it.
    for (auto i = 0; i < 8; ++i)
        CHECK(r.c.book(i % 2, "k" + std::to_string(i)).status != 0);
    for (auto i = 0; i < 4; ++i)
        r.c.book(i % 2, "lost");
    CHECK(wait_for(
        seconds{5}, [&] { return r.c.book(1, "lost").status == 200; }));
    CHECK(r.c.book(1, "new").status == 200);
    CHECK(r.c.run_count("lost") == 1);
    CHECK(r.c.run_count("new") == 1);
}

TEST_CASE("restored platform: instances announce themselves again")
{
    auto r = restored_cluster{28'720};
    constexpr auto all_writes = 100;
    r.restore(all_writes);
    auto const listed = [&]
    {
        auto const all =
            send_http(r.c.platform_address(), EVHTTP_REQ_GET, "/v1/instances")
                .body;
        return all.find("\"e0\"") != std::string::npos &&
               all.find("\"e1\"") != std::string::npos;
    };
    CHECK(wait_for(seconds{5}, listed));
    CHECK(r.received_during_queries(0) > 0);
    CHECK(r.incomplete == 0);
}

TEST_CASE(
    "restored platform: a template is written only in the era in which it "
    "was compared")
{
    auto l = scripted::loop{};
    auto const platform = scripted::scripted_target{l.base.get(),
        {"HTTP/1.1 404 Not Found\r\nStore-Era: 7\r\nContent-Length: "
         "0\r\n\r\n",
            ""}};
    auto const name = "ks-test-" + std::to_string(getpid()) + "-era.ini";
    auto const path = std::filesystem::temp_directory_path() / name;
    std::ofstream{path} << "[customer]\nname = c\n[service s]\nshards = 1\n"
                           "[target s t]\naddress = 127.0.0.1:9\nzone = a\n"
                           "shard = 0\n";
    auto const apply = process{
        {KS_BINARY, "apply", path.string(), "--platform", scripted::address},
        "/dev/null"};
    auto const has = [&](char const* text)
    {
        return platform.received.find(text) != std::string::npos;
    };
    CHECK(l.run_until([&] { return has("PUT ") && has("If-Era: 7\r\n"); }));
    std::filesystem::remove(path);
}
