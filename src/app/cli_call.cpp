#include "adapter/json_api.hpp"
#include "app/cli.hpp"
#include "app/http_call.hpp"

#include <boost/json.hpp>

#include <iostream>

namespace knapweedstream
{

namespace
{

namespace json = boost::json;

/// Time beyond a request's deadline for the reply to arrive.
constexpr auto reply_margin = seconds{2};

auto add_common_options(po::options_description& options) -> void
{
    options.add_options()("to", po::value<std::string>()->required(),
        "address of an instance, IP:PORT")(
        "customer", po::value<std::string>()->required(), "customer")("service",
        po::value<std::string>()->required(), "service")("deadline-ms",
        po::value<std::int64_t>()->default_value(0)->value_name("MS"),
        "deadline; 0: that of the service");
}

auto timeout_of(po::variables_map const& v) -> duration
{
    constexpr auto longest_deadline = milliseconds{30'000};
    auto const ms = v["deadline-ms"].as<std::int64_t>();
    return (ms > 0 ? milliseconds{ms} : longest_deadline) + reply_margin;
}

/// Exit code of a reply: 0 for a complete answer, 5 for a partial answer or an
/// unknown outcome, 1 for any other status.
auto exit_code_of(call_reply const& r) -> int
{
    if (r.status == 200)
        return r.body.find("\"complete\":false") == std::string::npos ? 0 : 5;
    return r.status == 202 || r.status == 504 ? 5 : 1;
}

auto print(call_reply const& r) -> int
{
    std::cout << r.body << "\n";
    return exit_code_of(r);
}

} // namespace

auto query_options() -> po::options_description
{
    auto options = po::options_description{"options"};
    add_common_options(options);
    options.add_options()(
        "query", po::value<std::string>()->required(), "query text")("max-rows",
        po::value<std::uint32_t>()->default_value(100),
        "maximum number of rows");
    return options;
}

auto send_query(po::variables_map const& v) -> leaf::result<int>
{
    auto const body =
        json::serialize(json::object{{"customer", text_option(v, "customer")},
            {"service", text_option(v, "service")},
            {"query", text_option(v, "query")},
            {"deadline_ms", v["deadline-ms"].as<std::int64_t>()},
            {"max_rows", v["max-rows"].as<std::uint32_t>()}});
    BOOST_LEAF_AUTO(
        reply, call(text_option(v, "to"),
                   {EVHTTP_REQ_POST, "/v1/query", {}, body}, timeout_of(v)));
    return print(reply);
}

auto book_options() -> po::options_description
{
    auto options = po::options_description{"options"};
    add_common_options(options);
    options.add_options()(
        "key", po::value<std::string>()->required(), "idempotency key")(
        "item", po::value<std::string>()->required(), "item to book")(
        "text", po::value<std::string>()->default_value(""), "details");
    return options;
}

auto send_booking(po::variables_map const& v) -> leaf::result<int>
{
    auto const body =
        json::serialize(json::object{{"customer", text_option(v, "customer")},
            {"service", text_option(v, "service")},
            {"item", text_option(v, "item")}, {"text", text_option(v, "text")},
            {"deadline_ms", v["deadline-ms"].as<std::int64_t>()}});
    BOOST_LEAF_AUTO(
        reply, call(text_option(v, "to"),
                   {EVHTTP_REQ_POST, "/v1/bookings",
                       {{"Idempotency-Key", text_option(v, "key")}}, body},
                   timeout_of(v)));
    return print(reply);
}

} // namespace knapweedstream
