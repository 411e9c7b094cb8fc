#include "app/cli.hpp"
#include "app/http_call.hpp"

#include <boost/json.hpp>

#include <unistd.h>

#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace knapweedstream
{

namespace
{

namespace json = boost::json;
using addresses = std::vector<std::string>;

constexpr auto call_timeout = seconds{5};
constexpr auto poll_interval = milliseconds{200};
constexpr auto exit_not_in_force = 5;

/// Body of an instance's status page.
auto fetch_status(std::string const& address) -> leaf::result<std::string>
{
    BOOST_LEAF_AUTO(reply,
        call(address, {EVHTTP_REQ_GET, "/v1/status", {}, {}}, call_timeout));
    return reply.body;
}

auto parse_status(std::string const& body) -> leaf::result<json::object>
{
    auto ec = json::error_code{};
    auto const page = json::parse(body, ec);
    auto const* o = page.if_object();
    if (ec || o == nullptr)
        return leaf::new_error(decode_error{"status page"});
    return *o;
}

/// Version of the customer's configuration that an instance has in force; 0 if
/// it has none.
auto version_at(std::string const& address, std::string const& customer)
    -> leaf::result<std::uint64_t>
{
    BOOST_LEAF_AUTO(body, fetch_status(address));
    BOOST_LEAF_AUTO(page, parse_status(body));
    auto const* list = page.if_contains("configs");
    if (list == nullptr || !list->is_array())
        return leaf::new_error(decode_error{"status page"});
    for (auto const& it : list->get_array())
        if (it.at("customer").as_string() == json::string_view{customer})
            return it.at("version").to_number<std::uint64_t>();
    return 0;
}

/// Text of a field: strings without quotes, other values as JSON.
auto field_text(json::object const& o, char const* name) -> std::string
{
    auto const* it = o.if_contains(name);
    if (it == nullptr)
        return "-";
    return it->is_string() ? std::string{it->get_string()}
                           : json::serialize(*it);
}

auto objects_of(json::object const& page, char const* name)
    -> std::vector<json::object>
{
    auto out = std::vector<json::object>{};
    auto const* list = page.if_contains(name);
    if (list != nullptr && list->is_array())
        for (auto const& it : list->get_array())
            if (it.is_object())
                out.push_back(it.get_object());
    return out;
}

/// Rows of a table in columns: the instance, then what is in force there.
auto print_columns(std::string const& address, json::object const& page) -> void
{
    auto const row = [](auto const&... cells)
    {
        constexpr auto width = 16;
        auto line = std::ostringstream{};
        ((line << std::left << std::setw(width) << cells << ' '), ...);
        auto text = line.str();
        text.erase(text.find_last_not_of(' ') + 1);
        std::cout << text << "\n";
    };
    row("INSTANCE", "ADDRESS", "ZONE", "READY", "LEAVING", "PEERS");
    row(field_text(page, "name"), address, field_text(page, "zone"),
        field_text(page, "ready"), field_text(page, "leaving"),
        objects_of(page, "peers").size());
    for (auto const& it : objects_of(page, "configs"))
        row("  customer", field_text(it, "customer"), "version",
            field_text(it, "version"));
    for (auto const& it : objects_of(page, "rollouts"))
        row("  rollout", field_text(it, "service"), field_text(it, "state"),
            field_text(it, "percent") + "%", field_text(it, "reason"));
}

auto print_status(std::string const& address, bool as_json)
    -> leaf::result<void>
{
    BOOST_LEAF_AUTO(body, fetch_status(address));
    if (as_json)
    {
        std::cout << body << "\n";
        return {};
    }
    BOOST_LEAF_AUTO(page, parse_status(body));
    print_columns(address, page);
    return {};
}

/// Instances that do not have the version in force, or do not say.
auto behind_of(addresses const& all, std::string const& customer,
    std::uint64_t wanted) -> addresses
{
    auto out = addresses{};
    for (auto const& it : all)
    {
        auto const version =
            leaf::try_handle_all([&] { return version_at(it, customer); },
                [] { return std::uint64_t{0}; });
        if (version < wanted)
            out.push_back(it);
    }
    return out;
}

/// Waits until the version is in force at all instances.
auto wait_for_version(addresses const& all, std::string const& customer,
    std::uint64_t wanted, milliseconds longest) -> int
{
    auto const wait_end = steady_now() + longest;
    while (true)
    {
        auto const behind = behind_of(all, customer, wanted);
        auto const done = behind.empty();
        if (!done && steady_now() < wait_end)
        {
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        std::cout << (done ? "done" : "undone") << " customer=" << customer
                  << " version=" << wanted;
        for (auto const& it : behind)
            std::cout << " behind=" << it;
        std::cout << "\n";
        return done ? 0 : exit_not_in_force;
    }
}

} // namespace

auto status_options() -> po::options_description
{
    auto options = po::options_description{"options"};
    options.add_options()("to", po::value<addresses>()->required(),
        "addresses of instances, IP:PORT")(
        "json", "JSON, as also without a terminal; otherwise columns")(
        "customer", po::value<std::string>(), "customer to wait for")(
        "version", po::value<std::uint64_t>(), "version to wait for")("wait-ms",
        po::value<std::int64_t>()->default_value(0)->value_name("MS"),
        "longest wait for the version");
    return options;
}

auto show_status(po::variables_map const& v) -> leaf::result<int>
{
    auto const& all = v["to"].as<addresses>();
    if (v.count("customer") > 0 && v.count("version") > 0)
        return wait_for_version(all, text_option(v, "customer"),
            v["version"].as<std::uint64_t>(),
            milliseconds{v["wait-ms"].as<std::int64_t>()});
    auto const as_json = v.count("json") > 0 || isatty(STDOUT_FILENO) == 0;
    for (auto const& it : all)
        BOOST_LEAF_CHECK(print_status(it, as_json));
    return 0;
}

} // namespace knapweedstream
