/// The client of the platform for queries, when the platform begins a new era.
#include "adapter/platform_client.hpp"
#include "unit/scripted_target.hpp"

#include <algorithm>
#include <set>

namespace ks = knapweedstream;
using namespace scripted;

namespace
{

/// A reply that states an era and has the given body.
auto reply_of(std::string const& era, std::string const& body) -> reply_script
{
    return {"HTTP/1.1 200 OK\r\nStore-Era: " + era + "\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
        ""};
}

/// Body that serves as list of instances, list of customers and object.
auto body_of(std::string const& customer, int revision) -> std::string
{
    return R"({"instances":[],"revision":)" + std::to_string(revision) +
           R"(,"name":"n","value":"[]","version":3,"objects":[{"name":")" +
           customer + R"(","version":3,"value":"{\"name\":\")" + customer +
           R"(\"}"}]})";
}

struct client_of_platform
{
    loop l;
    scripted_target platform{l.base.get(), reply_of("1", body_of("a", 5))};
    std::set<std::string> customers;
    std::vector<std::uint64_t> eras;
    std::uint32_t failed_claims = 0;
    std::uint32_t written_claims = 0;
    ks::platform_client client{l.base.get(), address,
        {"e0", "127.0.0.1:9", "z"},
        [this](ks::event const& e)
        {
            note(e);
        }};

    auto note(ks::event const& e) -> void
    {
        if (auto const* it = std::get_if<ks::config_read>(&e))
            customers.insert(it->config.name);
        if (auto const* it = std::get_if<ks::era_observed>(&e))
            eras.push_back(it->era);
        failed_claims += std::holds_alternative<ks::claims_failed>(e) ? 1 : 0;
        written_claims += std::holds_alternative<ks::claims_written>(e) ? 1 : 0;
    }

    auto start() -> void
    {
        client.start();
        client.run(ks::watch_config{true});
        REQUIRE(l.run_until([&] { return customers.contains("a"); }));
    }

    auto count(std::string const& text) const -> std::ptrdiff_t
    {
        auto n = std::ptrdiff_t{0};
        for (auto at = platform.received.find(text); at != std::string::npos;
             at = platform.received.find(text, at + 1))
            ++n;
        return n;
    }

    auto run_for(ks::milliseconds span) -> void
    {
        auto const end = ks::steady_now() + span;
        l.run_until([&] { return ks::steady_now() >= end; });
    }
};

} // namespace

TEST_CASE("platform eras: all is read and announced again in a new era")
{
    auto c = client_of_platform{};
    c.start();
    auto const lists = c.count("since=0&");
    REQUIRE(c.count("PUT /v1/instances/e0") == 1);
    c.platform.set_script(reply_of("2", body_of("b", 900)));
    CHECK(c.l.run_until(
        [&]
        {
            return c.count("PUT /v1/instances/e0") == 2 &&
                   c.count("since=0&") > lists && c.customers.contains("b");
        }));
    CHECK(c.eras == std::vector<std::uint64_t>{1, 2});
}

TEST_CASE("platform eras: answers of an earlier era are not used, those that "
          "state none are")
{
    for (std::string const era : {"1", "no number", "-1", ""})
    {
        CAPTURE(era);
        auto c = client_of_platform{};
        c.platform.set_script(reply_of("2", body_of("a", 5)));
        c.start();
        c.platform.set_script(reply_of(era, body_of("late", 900)));
        c.run_for(ks::milliseconds{700});
        CHECK(c.customers.contains("late") == (era != "1"));
        CHECK(c.eras == std::vector<std::uint64_t>{2});
    }
}

TEST_CASE("platform eras: no conditional write has a version of an earlier era")
{
    auto c = client_of_platform{};
    c.platform.set_script(reply_of("2", body_of("a", 5)));
    c.start();
    c.client.run(ks::claims_write{{{1}, {2}}, {1, 77}, {}});
    c.run_for(ks::milliseconds{100});
    CHECK(c.failed_claims == 1);
    CHECK(c.count("If-Match") == 0);
    c.client.run(ks::claims_write{{{1}, {2}}, {2, 77}, {}});
    CHECK(c.l.run_until([&] { return c.written_claims == 1; }));
    CHECK(c.count("If-Match: 77\r\n") == 1);
    CHECK(c.count("If-Era: 2\r\n") == 1);
    c.platform.set_script(reply_of("3", body_of("a", 5)));
    c.client.run(ks::claims_write{{{1}, {2}}, {2, 78}, {}});
    CHECK(c.l.run_until([&] { return c.failed_claims == 2; }));
    CHECK(c.written_claims == 1);
}

TEST_CASE("platform eras: an era that a peer has seen is entered")
{
    auto c = client_of_platform{};
    c.start();
    c.platform.set_script(reply_of("2", body_of("b", 9)));
    c.client.run(ks::enter_era{2});
    CHECK(c.l.run_until(
        [&] {
            return c.count("PUT /v1/instances/e0") == 2 &&
                   c.customers.contains("b");
        }));
}
