/// The client of the platform for queries: entries and names of any kind.
#include "adapter/platform_client.hpp"
#include "unit/scripted_target.hpp"

#include <set>

namespace ks = knapweedstream;
using namespace scripted;

namespace
{

/// What an instance learns from a platform that answers each call with a body.
struct learned
{
    std::set<std::string> customers;
    std::vector<std::string> instances;
    std::string received; ///< Bytes of the calls.
};

auto learn_from(std::string const& body, std::string const& own_name) -> learned
{
    auto l = loop{};
    auto platform = scripted_target{l.base.get(),
        {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body,
            ""}};
    auto out = learned{};
    auto listed = false;
    auto self = ks::instance_info{};
    self.name = own_name;
    auto client = ks::platform_client{l.base.get(), address, self,
        [&](ks::event const& e)
        {
            if (auto const* it = std::get_if<ks::config_read>(&e))
                out.customers.insert(it->config.name);
            if (auto const* it = std::get_if<ks::instances_listed>(&e))
            {
                listed = true;
                for (auto const& i : it->instances)
                    out.instances.push_back(i.name);
            }
        }};
    client.start();
    client.run(ks::watch_config{true});
    l.run_until([&] { return listed && !out.customers.empty(); });
    out.received = platform.received;
    return out;
}

} // namespace

TEST_CASE(
    "platform client: one odd entry does not hide the other customers and "
    "instances")
{
    for (std::string const odd :
        {"7", "null", "{}", R"({"name":7,"version":1,"value":"{}"})",
            R"({"name":"odd","version":-1,"value":"{}"})",
            R"({"name":"odd","version":1,"value":"no JSON"})",
            R"({"name":"odd","version":1,"value":"{\"services\":[7]}"})",
            R"({"name":"\ud83d","version":1,"value":""})"})
    {
        CAPTURE(odd);
        auto const good =
            R"({"name":"c","version":2,"value":"{\"name\":\"c\"}"})";
        auto const instance =
            R"({"name":"e1","peer_address":"127.0.0.1:9","zone":"a"})";
        auto const got =
            learn_from(R"({"revision":5,"objects":[)" + odd + "," + good +
                           R"(],"instances":[)" + odd + "," + instance + "]}",
                "e0");
        CHECK(got.customers == std::set<std::string>{"c"});
        REQUIRE(!got.instances.empty());
        CHECK(got.instances.back() == "e1");
    }
}

TEST_CASE("platform client: an instance records itself under any name")
{
    auto const got = learn_from(
        R"({"revision":5,"objects":[],"instances":[]})", "a b&c#%41/d");
    CHECK(got.received.find(
              "PUT /v1/instances/a%20b%26c%23%2541%2Fd HTTP/1.1\r\n") !=
          std::string::npos);
}
