#include "adapter/ini.hpp"
#include "adapter/log.hpp"
#include "app/cli.hpp"
#include "app/dispatch_runtime.hpp"
#include "app/runtime.hpp"

#include <knapweedstream/overloaded.hpp>

#include <cstdlib>
#include <iostream>

namespace knapweedstream
{

namespace
{

auto load_settings(std::string const& path) -> leaf::result<any_settings>
{
    BOOST_LEAF_AUTO(text, read_file(path));
    return parse_any_settings(path, text);
}

/// True if the instance was asked to stop before it could listen. Its grace
/// period has begun before it knows, so it does not begin to serve.
auto stops_at_once(held_signals const& held) -> bool
{
    auto const stops = held.stop_requested();
    if (!stops)
        return false;
    log(log_level::info, "node", "Stop requested before the start.");
    flush_log();
    return true;
}

auto serve(instance_settings const& settings, held_signals const& held)
    -> leaf::result<void>
{
    start_log(settings.level);
    if (stops_at_once(held))
        return {};
    auto instance = runtime{settings};
    BOOST_LEAF_CHECK(instance.run(held));
    // All work is done. Destructors are skipped, since closing an nng socket
    // may block forever while a dialer reconnects (see peer_link).
    std::_Exit(0);
}

auto serve(dispatch_settings const& settings, std::string const& path,
    held_signals const& held) -> leaf::result<void>
{
    start_log(settings.level, {settings.log_lines_per_s});
    if (stops_at_once(held))
        return {};
    auto instance = dispatch_runtime{settings, path};
    return instance.run(held);
}

using paths = std::vector<std::string>;

/// Files that an option names; none if it is not given.
auto files_of(po::variables_map const& v, char const* name) -> paths
{
    return v.count(name) == 0 ? paths{} : v[name].as<paths>();
}

/// Parses each file. Prints the good ones and collects the errors of the
/// others.
template <class Parse>
auto check_each(paths const& files, Parse const& parse, ini_errors& errors)
    -> leaf::result<void>
{
    for (auto const& path : files)
    {
        BOOST_LEAF_AUTO(text, read_file(path));
        BOOST_LEAF_CHECK(leaf::try_handle_some(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_CHECK(parse(path, text));
                std::cout << path << ": good\n";
                return {};
            },
            [&](ini_errors const& e) -> leaf::result<void>
            {
                errors.list.insert(
                    errors.list.end(), e.list.begin(), e.list.end());
                return {};
            }));
    }
    return {};
}

} // namespace

auto run_options() -> po::options_description
{
    auto options = po::options_description{"options"};
    options.add_options()("settings",
        po::value<std::string>()->required()->value_name("FILE"),
        "settings file (INI) of either front end");
    return options;
}

auto run_instance(po::variables_map const& v) -> leaf::result<int>
{
    auto const held = held_signals{};
    auto const path = text_option(v, "settings");
    BOOST_LEAF_AUTO(settings, load_settings(path));
    BOOST_LEAF_CHECK(std::visit(
        overloaded{[&](instance_settings const& it) { return serve(it, held); },
            [&](dispatch_settings const& it)
            {
                return serve(it, path, held);
            }},
        settings));
    return 0;
}

auto check_options() -> po::options_description
{
    auto options = po::options_description{"options"};
    options.add_options()("settings", po::value<paths>()->value_name("FILE"),
        "settings file of either front end, or a rendered settings template")(
        "template", po::value<paths>()->value_name("FILE"),
        "customer template");
    return options;
}

auto check_files(po::variables_map const& v) -> leaf::result<int>
{
    if (v.count("settings") + v.count("template") == 0)
        return leaf::new_error(usage_error{
            "check: no file is given\nsee knapweedstream check --help"});
    auto errors = ini_errors{};
    BOOST_LEAF_CHECK(
        check_each(files_of(v, "settings"), parse_any_settings, errors));
    BOOST_LEAF_CHECK(
        check_each(files_of(v, "template"), parse_template, errors));
    if (!errors.list.empty())
        return leaf::new_error(errors);
    return 0;
}

} // namespace knapweedstream
