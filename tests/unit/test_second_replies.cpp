#include "adapter/target_links.hpp"
#include "platform/targets.hpp"
#include "unit/scripted_target.hpp"

#include <optional>

namespace ks = knapweedstream;
using ks::seconds;
using namespace scripted;

namespace
{

auto request(std::string const& id) -> ks::routed_request_ptr
{
    auto r = ks::routed_request{};
    r.id = id;
    r.method = "GET";
    r.target = "/x";
    r.host = "h";
    return std::make_shared<ks::routed_request const>(r);
}

auto reply(std::string const& id, std::string const& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s-" + id +
           "\r\nX-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// What two requests in turn on one connection get.
struct two_results
{
    std::optional<std::string> first; ///< Body of a success.
    std::optional<std::string> second;
    bool ended = false; ///< The second one has a reply or a broken connection.
    bool reusable = false; ///< The connection could carry a third one.
};

/// Sends the request `q1` and, if its reply lets it, `q2` on the same
/// connection.
auto ask_twice(std::string const& first, std::string const& second)
    -> two_results
{
    auto l = loop{};
    auto target = scripted_target{l.base.get(), {second, "", first}};
    auto r = two_results{};
    auto const id = ks::connection_id{1};
    ks::target_links* links = nullptr;
    auto n = std::uint64_t{0};
    auto const send = [&]
    {
        ++n;
        links->run(ks::dispatch::send_request{id, ks::attempt_id{n}, "t",
            request("q" + std::to_string(n)), seconds{1}});
    };
    auto client =
        ks::target_links{l.base.get(), ks::platform::make_target_dialect(),
            [&](ks::dispatch::event const& e)
            {
                if (std::holds_alternative<ks::dispatch::connection_opened>(e))
                    send();
                if (std::holds_alternative<ks::dispatch::connection_closed>(e))
                    r.ended = true;
                auto const* it = std::get_if<ks::dispatch::target_replied>(&e);
                if (it == nullptr)
                    return;
                auto const* good = std::get_if<ks::reply_success>(&it->reply);
                auto& body = n == 1 ? r.first : r.second;
                if (good != nullptr)
                    body = good->message.body;
                r.ended = n > 1 || !it->reusable;
                r.reusable = n > 1 && it->reusable;
                if (n == 1 && it->reusable)
                    send();
            }};
    links = &client;
    client.run(ks::dispatch::open_connection{id, address});
    CHECK(l.run_until([&] { return r.ended; }));
    client.free_closed();
    return r;
}

} // namespace

TEST_CASE("replies: a second copy of a reply never reaches the next request on "
          "its connection")
{
    auto const copy = reply("q1", "one");
    auto const interim = std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
    // It arrives late: the next request has already been sent.
    for (auto const& late : {copy, copy + reply("q2", "two"), interim + copy,
             interim + copy + reply("q2", "two"),
             copy.substr(0, copy.size() - 1), copy + copy})
    {
        CAPTURE(late);
        auto const r = ask_twice(copy, late);
        CHECK(r.first == "one");
        CHECK(!r.second);
        CHECK(!r.reusable);
    }
    // It arrives at once, before the next request could be sent.
    for (std::size_t n = 1; n <= copy.size(); n += 7)
    {
        CAPTURE(n);
        auto const r = ask_twice(copy + copy.substr(0, n), reply("q2", "two"));
        CHECK(r.first == "one");
        CHECK((!r.second || *r.second == "two"));
    }
    // Without a copy both are answered.
    auto const good = ask_twice(copy, reply("q2", "two"));
    CHECK(good.first == "one");
    CHECK(good.second == "two");
}
