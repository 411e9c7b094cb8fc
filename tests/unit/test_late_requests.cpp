/// Requests that wait unread while a turn of the event loop lasts.
#include "adapter/event_loop.hpp"
#include "adapter/route_server.hpp"
#include "dispatch/harness.hpp"
#include "platform/ingress.hpp"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace ks = knapweedstream;
using ks::milliseconds;

namespace
{

constexpr auto port = std::uint16_t{22'950};
constexpr auto turn_length = milliseconds{300};
constexpr auto request =
    std::string_view{"GET /p HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n\r\n"};

auto connect_to_server() -> int
{
    auto const fd = socket(AF_INET, SOCK_STREAM, 0);
    auto a = sockaddr_in{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
    return fd;
}

/// A turn in which a caller sends a request, and then much else is done.
auto run_long_turn(int& fd) -> void
{
    if (fd < 0)
        fd = connect_to_server();
    auto const n = send(fd, request.data(), request.size(), 0);
    REQUIRE(n == static_cast<ssize_t>(request.size()));
    std::this_thread::sleep_for(turn_length);
}

} // namespace

TEST_CASE("late requests: one that waits while a turn lasts is known to have "
          "waited, also in a new connection")
{
    auto const base = ks::make_event_base();
    auto turns = ks::turn_clock{base.get()};
    auto const loop = ks::loop_ref{base.get(), &turns};
    auto waits = std::vector<ks::duration>{};
    ks::route_server* answering = nullptr;
    auto server = ks::route_server{loop, ks::platform::make_caller_dialect(),
        [&](ks::dispatch::event e)
        {
            auto const& it = std::get<ks::dispatch::caller_request>(e);
            waits.push_back(it.waited);
            answering->run(ks::dispatch::answer_caller{
                it.caller, ks::answer_failed{ks::failure_reason::timeout}});
            event_base_loopbreak(base.get());
        }};
    answering = &server;
    REQUIRE(server.start("127.0.0.1:" + std::to_string(port)));
    auto fd = -1;
    auto after_turn = ks::loop_event{loop, [] {
                                     }};
    auto long_turn = ks::loop_event{loop, [&]
        {
            run_long_turn(fd);
            after_turn.activate();
        }};
    for (auto k = 0; k < 2; ++k)
    {
        long_turn.after(milliseconds{20});
        event_base_dispatch(base.get());
    }
    close(fd);
    REQUIRE(waits.size() == 2);
    CHECK(waits[0] >= turn_length);
    CHECK(waits[1] >= turn_length);
}

TEST_CASE("late requests: input that the loop has waited for came at once")
{
    auto const t = ks::time_point{ks::seconds{100}};
    auto const after = [&](int ms)
    {
        return t + milliseconds{ms};
    };
    auto turns = ks::with_turn({}, {}, t);
    CHECK(ks::earliest_arrival(turns) == t);
    // The next turn begins as the long one ends.
    turns = ks::with_turn(turns, after(300), after(300));
    CHECK(ks::earliest_arrival(turns) == t);
    turns = ks::with_turn(turns, after(310), after(900));
    CHECK(ks::earliest_arrival(turns) == after(900));
}

TEST_CASE(
    "routed: a target is handed no more time than the caller of a request "
    "that was read late has left")
{
    auto r = ks::dispatch::harness{};
    r.finish_startup();
    r.feed_lists(ks::dispatch::config_of(ks::dispatch::single_route("s")),
        ks::dispatch::three_targets("s"));
    auto const read_late = [&](int caller, milliseconds waited)
    {
        auto q = ks::routed_request{};
        q.id = "late" + std::to_string(caller);
        q.method = "GET";
        q.target = "/p/x";
        q.host = "h";
        q.deadline = milliseconds{900};
        r.feed(ks::dispatch::caller_request{
            ks::caller_id{static_cast<std::uint64_t>(caller)},
            std::make_shared<ks::routed_request const>(q), waited});
        return r.take_sent();
    };
    auto const sent = read_late(901, milliseconds{600});
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].time_left <= milliseconds{300});
    CHECK(sent[0].time_left > milliseconds{200});
    // Its caller has given up: it is refused and not sent.
    CHECK(read_late(902, milliseconds{900}).empty());
    CHECK(ks::dispatch::refusal_of(r, ks::caller_id{902}).reason ==
          ks::refusal_reason::overloaded);
    CHECK(r.core.stats().read_late == 2);
}
