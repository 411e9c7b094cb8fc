#include "adapter/ini.hpp"
#include "adapter/log.hpp"
#include "app/cli_options.hpp"
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

auto serve(instance_settings const& settings) -> leaf::result<void>
{
    start_log(settings.level);
    auto instance = runtime{settings};
    BOOST_LEAF_CHECK(instance.run());
    // All work is done. Destructors are skipped, since closing an nng socket
    // may block forever while a dialer reconnects (see peer_link).
    std::_Exit(0);
}

auto serve(dispatch_settings const& settings, std::string const& path)
    -> leaf::result<void>
{
    start_log(settings.level, {settings.log_lines_per_s});
    auto instance = dispatch_runtime{settings, path};
    return instance.run();
}

} // namespace

auto run_instance(arguments const& args) -> leaf::result<int>
{
    auto options = po::options_description{"options"};
    options.add_options()("settings", po::value<std::string>()->required(),
        "settings file (INI)");
    BOOST_LEAF_AUTO(v, parse_options(args, "run", options, "settings"));
    auto const path = text_option(v, "settings");
    BOOST_LEAF_AUTO(settings, load_settings(path));
    BOOST_LEAF_CHECK(std::visit(
        overloaded{[](instance_settings const& it) { return serve(it); },
            [&](dispatch_settings const& it)
            {
                return serve(it, path);
            }},
        settings));
    return 0;
}

auto check_files(arguments const& args) -> leaf::result<int>
{
    using list = std::vector<std::string>;
    auto options = po::options_description{"options"};
    options.add_options()("settings", po::value<list>(), "settings file")(
        "template", po::value<list>(), "customer template");
    BOOST_LEAF_AUTO(v, parse_options(args, "check", options));
    if (v.count("settings") + v.count("template") == 0)
        return leaf::new_error(usage_error{"check --settings or --template"});
    auto errors = ini_errors{};
    auto const check = [&](char const* name, auto parse) -> leaf::result<void>
    {
        if (v.count(name) == 0)
            return {};
        for (auto const& path : v[name].template as<list>())
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
    };
    BOOST_LEAF_CHECK(check("settings", parse_any_settings));
    BOOST_LEAF_CHECK(check("template", parse_template));
    if (!errors.list.empty())
        return leaf::new_error(errors);
    return 0;
}

} // namespace knapweedstream
