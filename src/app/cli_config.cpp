#include "adapter/ini.hpp"
#include "adapter/json_api.hpp"
#include "adapter/settings.hpp"
#include "app/cli.hpp"
#include "app/http_call.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>

namespace knapweedstream
{

namespace
{

namespace json = boost::json;

constexpr auto call_timeout = seconds{5};

auto object_path(std::string const& customer) -> std::string
{
    return "/v1/objects/customer/" + uri_encoded(customer);
}

/// The customer's object and the era of the platform's data in which it was
/// read.
struct read_result
{
    platform_object object;
    std::string era; ///< Empty if the platform states none.

    auto operator<=>(read_result const&) const = default;
};

/// Reads the customer's object from the platform; version 0 if there is none.
auto read_object(std::string const& platform, std::string const& customer)
    -> leaf::result<read_result>
{
    BOOST_LEAF_AUTO(
        reply, call(platform, {EVHTTP_REQ_GET, object_path(customer), {}, {}},
                   call_timeout));
    if (reply.status == 404)
        return read_result{{customer, 0, {}}, reply.era};
    if (reply.status != 200)
        return leaf::new_error(status_error{reply.status, reply.body});
    BOOST_LEAF_AUTO(object, parse_object(reply.body));
    return read_result{std::move(object), reply.era};
}

/// Splits JSON text after each comma and opening bracket. Commas inside strings
/// split, too; the pieces are only compared and printed.
auto split_fields(std::string const& value) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    auto depth = std::string{};
    auto line = std::string{};
    for (auto const c : value)
    {
        line += c;
        if (c != ',' && c != '{' && c != '[')
            continue;
        lines.push_back(line);
        line.clear();
    }
    lines.push_back(line);
    return lines;
}

/// Pieces of JSON text that were removed (`-`) and added (`+`), one per line.
auto diff(std::string const& before, std::string const& after) -> std::string
{
    auto a = split_fields(before);
    auto b = split_fields(after);
    std::sort(a.begin(), a.end());
    std::sort(b.begin(), b.end());
    auto text = std::string{};
    auto removed = std::vector<std::string>{};
    auto added = std::vector<std::string>{};
    std::set_difference(
        a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(removed));
    std::set_difference(
        b.begin(), b.end(), a.begin(), a.end(), std::back_inserter(added));
    for (auto const& it : removed)
        text += "- " + it + "\n";
    for (auto const& it : added)
        text += "+ " + it + "\n";
    return text;
}

/// Writes the object if neither its version nor the era has changed since it
/// was read.
///
/// @remarks If the reply is lost or reports a conflict, the object is read
///     back: the write succeeded if it holds `value`.
/// @returns The new version, or `conflict_error` with the version found.
auto write_object(std::string const& platform, read_result const& before,
    std::string const& value) -> leaf::result<std::uint64_t>
{
    auto const& name = before.object.name;
    auto request = http_request{EVHTTP_REQ_PUT, object_path(name),
        {{"If-Match", std::to_string(before.object.version)}}, value};
    if (!before.era.empty())
        request.fields.push_back({"If-Era", before.era});
    auto const read_back = [&]() -> leaf::result<std::uint64_t>
    {
        BOOST_LEAF_AUTO(found, read_object(platform, name));
        auto const& now = found.object;
        if (now.value == value)
            return now.version;
        return leaf::new_error(conflict_error{now.version, now.value});
    };
    return leaf::try_handle_some(
        [&]() -> leaf::result<std::uint64_t>
        {
            BOOST_LEAF_AUTO(reply, call(platform, request, call_timeout));
            if (reply.status == 412)
                return read_back();
            if (reply.status != 200)
                return leaf::new_error(status_error{reply.status, reply.body});
            BOOST_LEAF_AUTO(object, parse_object(reply.body));
            return object.version;
        },
        [&](http_error const&) { return read_back(); });
}

} // namespace

auto apply_options() -> po::options_description
{
    auto options = po::options_description{"options"};
    options.add_options()("platform", po::value<std::string>()->required(),
        "address of the platform")("template",
        po::value<std::string>()->required(),
        "customer template (INI)")("if-version", po::value<std::uint64_t>(),
        "fail unless the platform holds this version")(
        "dry-run", "only print the difference");
    return options;
}

auto apply_template(po::variables_map const& v) -> leaf::result<int>
{
    auto const path = text_option(v, "template");
    auto const platform = text_option(v, "platform");
    BOOST_LEAF_AUTO(text, read_file(path));
    BOOST_LEAF_AUTO(config, parse_template(path, text));
    auto const value = to_json(config);
    BOOST_LEAF_AUTO(found, read_object(platform, config.name));
    auto const& before = found.object;
    if (v.count("if-version") > 0 &&
        v["if-version"].as<std::uint64_t>() != before.version)
        return leaf::new_error(conflict_error{before.version, before.value});
    if (before.value == value)
    {
        std::cout << "unchanged customer=" << config.name
                  << " version=" << before.version << "\n";
        return 0;
    }
    std::cout << diff(before.value, value);
    if (v.count("dry-run") > 0)
        return 0;
    BOOST_LEAF_AUTO(version, write_object(platform, found, value));
    std::cout << "accepted customer=" << config.name << " version=" << version
              << "\n";
    return 0;
}

} // namespace knapweedstream
