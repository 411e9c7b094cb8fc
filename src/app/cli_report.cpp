#include "adapter/burn_page.hpp"
#include "app/cli.hpp"
#include "app/http_call.hpp"

#include <iostream>

namespace knapweedstream
{

namespace
{

constexpr auto call_timeout = seconds{5};

/// Reads the error-budget counts of one instance.
auto fetch_burn(std::string const& address) -> leaf::result<burn_table>
{
    BOOST_LEAF_AUTO(reply,
        call(address, {EVHTTP_REQ_GET, "/v1/burn", {}, {}}, call_timeout));
    return parse_burn(reply.body);
}

} // namespace

auto report_options() -> po::options_description
{
    using list = std::vector<std::string>;
    auto options = po::options_description{"options"};
    options.add_options()("report", po::value<std::string>()->required(),
        "burn")("to", po::value<list>()->multitoken()->required(),
        "addresses of all instances, IP:PORT")("format",
        po::value<std::string>()->default_value("text"), "text, json or html");
    return options;
}

auto show_report(po::variables_map const& v) -> leaf::result<int>
{
    using list = std::vector<std::string>;
    auto const format = text_option(v, "format");
    if (text_option(v, "report") != "burn" ||
        (format != "text" && format != "json" && format != "html"))
        return leaf::new_error(
            usage_error{"report: expected burn and a format of text, json or "
                        "html\nsee knapweedstream report --help"});
    auto book = burn_table{};
    auto skipped = 0;
    for (auto const& address : v["to"].as<list>())
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(fetched, fetch_burn(address));
                merge_burn(book, fetched);
                return {};
            },
            [&]
            {
                ++skipped;
                std::cerr << "not counted, no usable answer from " << address
                          << "\n";
            });
    auto const last_minute = wall_seconds() / 60;
    std::cout << (format == "html"   ? burn_html(book, last_minute)
                  : format == "json" ? burn_json(book, last_minute) + "\n"
                                     : burn_text(book, last_minute));
    return skipped == 0 ? 0 : 5;
}

} // namespace knapweedstream
