/// Compares two policies of the dispatcher on the same arrivals.
///
/// A policy is the dispatcher's limits, as the settings name them. Each load
/// is played with both under each seed, in virtual time. Writes a Markdown
/// table to standard output and, if asked, an SVG plot for each load.
#include "report.hpp"
#include "scenarios.hpp"

#include "adapter/dispatch_settings.hpp"
#include "app/cli_options.hpp"

#include <fstream>
#include <iostream>

namespace ks = knapweedstream;
using namespace ks::dispatch;

namespace
{

using names = std::vector<std::string>;

/// A policy under its name.
struct policy
{
    std::string name;
    dispatch_limits limits;

    auto operator<=>(policy const&) const = default;
};

/// What is compared, and how.
struct experiment
{
    std::vector<policy> policies;
    names loads; ///< Names of scenarios; empty: all.
    std::uint64_t seeds = 20;
    std::string plots; ///< Folder for plots; empty: none.

    auto operator<=>(experiment const&) const = default;
};

/// Settings of an instance with some of its limits stated.
auto settings_text(names const& limits) -> std::string
{
    auto text = std::string{"[instance]\nfront_end = routes\nname = i\n"
                            "zone = a\nregion = north\n"
                            "caller_address = 127.0.0.1:1\n"
                            "ready_address = 127.0.0.1:2\n"
                            "platform_address = 127.0.0.1:3\n[limits]\n"};
    for (auto const& it : limits)
        text += it + "\n";
    return text;
}

auto parse_policy(std::string const& name, names const& limits)
    -> ks::leaf::result<policy>
{
    BOOST_LEAF_AUTO(s, ks::parse_any_settings(name, settings_text(limits)));
    return policy{name, std::get<ks::dispatch_settings>(s).limits};
}

auto list_option(ks::po::variables_map const& v, char const* name) -> names
{
    return v.count(name) == 0 ? names{} : v[name].as<names>();
}

auto parse_experiment(names const& args) -> ks::leaf::result<experiment>
{
    auto options = ks::po::options_description{"options"};
    options.add_options()("a", ks::po::value<names>()->multitoken(),
        "limits of the first policy, KEY=VALUE")(
        "b", ks::po::value<names>()->multitoken(), "and of the second")("loads",
        ks::po::value<names>()->multitoken(), "names of loads; default: all")(
        "seeds", ks::po::value<std::uint64_t>()->default_value(20),
        "plays of each, two at least")(
        "plots", ks::po::value<std::string>(), "a folder for SVG files");
    BOOST_LEAF_AUTO(v, ks::parse_options(args, "experiment", options));
    auto e = experiment{};
    BOOST_LEAF_AUTO(a, parse_policy("a", list_option(v, "a")));
    BOOST_LEAF_AUTO(b, parse_policy("b", list_option(v, "b")));
    e.policies = {a, b};
    e.loads = list_option(v, "loads");
    e.seeds = std::max<std::uint64_t>(2, v["seeds"].as<std::uint64_t>());
    e.plots = ks::text_option(v, "plots");
    return e;
}

auto play(scenario const& s, policy const& p, std::uint64_t seeds)
    -> policy_plays
{
    auto out = policy_plays{p.name, {}};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        auto init = s.init;
        init.limits = p.limits;
        auto plan = s.plan;
        plan.seed = seed;
        out.plays.push_back(load_simulation{init}.simulate(plan));
    }
    return out;
}

auto run(experiment const& e) -> void
{
    for (auto const& s : all_scenarios())
    {
        if (!e.loads.empty() &&
            std::find(e.loads.begin(), e.loads.end(), s.name) == e.loads.end())
            continue;
        auto plays = std::vector<policy_plays>{};
        for (auto const& p : e.policies)
            plays.push_back(play(s, p, e.seeds));
        std::cout << "\n"
                  << s.name << ": " << s.about << "\n\n"
                  << table_of(plays) << std::flush;
        if (!e.plots.empty())
            std::ofstream{e.plots + "/" + s.name + ".svg"}
                << plot_of(s.name, plays);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return ks::leaf::try_handle_all(
        [&]() -> ks::leaf::result<int>
        {
            BOOST_LEAF_AUTO(e, parse_experiment({argv + 1, argv + argc}));
            run(e);
            return 0;
        },
        [](ks::usage_error const& e)
        {
            std::cerr << e.wanted;
            return 2;
        },
        [](ks::ini_errors const& e)
        {
            for (auto const& it : e.list)
                std::cerr << it.key << ": expected " << it.wanted << "\n";
            return 2;
        },
        []
        {
            std::cerr << "experiment: unknown error\n";
            return 1;
        });
}
