/// Compares two policies of the dispatcher under identical request arrivals.
///
/// A policy is a set of the dispatcher's limits, under their names in the
/// settings. Each scenario is simulated in virtual time with both policies and
/// every seed. Writes a Markdown table per scenario to standard output and, on
/// request, an SVG plot per scenario.
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

using string_list = std::vector<std::string>;

/// A named policy.
struct policy
{
    std::string name;
    dispatch_limits limits;

    auto operator<=>(policy const&) const = default;
};

/// What an experiment compares, over which scenarios and seeds.
struct experiment
{
    std::vector<policy> policies;
    string_list loads;        ///< Names of scenarios; empty: all.
    std::uint64_t seeds = 20; ///< Runs per scenario and policy.
    std::string plots;        ///< Folder for plots; empty: none.

    auto operator<=>(experiment const&) const = default;
};

/// Settings text of an instance with the given `KEY=VALUE` limits; all other
/// limits have their defaults.
auto settings_text(string_list const& limits) -> std::string
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

auto parse_policy(std::string const& name, string_list const& limits)
    -> ks::leaf::result<policy>
{
    BOOST_LEAF_AUTO(s, ks::parse_any_settings(name, settings_text(limits)));
    return policy{name, std::get<ks::dispatch_settings>(s).limits};
}

auto list_option(ks::po::variables_map const& v, char const* name)
    -> string_list
{
    return v.count(name) == 0 ? string_list{} : v[name].as<string_list>();
}

auto parse_experiment(string_list const& args) -> ks::leaf::result<experiment>
{
    auto options = ks::po::options_description{"options"};
    options.add_options()("a", ks::po::value<string_list>()->multitoken(),
        "limits of the first policy, KEY=VALUE")("b",
        ks::po::value<string_list>()->multitoken(),
        "limits of the second policy, KEY=VALUE")("loads",
        ks::po::value<string_list>()->multitoken(),
        "names of scenarios; default: all")("seeds",
        ks::po::value<std::uint64_t>()->default_value(20),
        "runs per scenario and policy, at least 2")(
        "plots", ks::po::value<std::string>(), "folder for SVG plots");
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

/// Simulates a scenario with one policy, once per seed.
auto run_policy(scenario const& s, policy const& p, std::uint64_t seeds)
    -> policy_runs
{
    auto out = policy_runs{p.name, {}};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        auto init = s.init;
        init.limits = p.limits;
        auto plan = s.plan;
        plan.seed = seed;
        out.runs.push_back(load_simulation{init}.simulate(plan));
    }
    return out;
}

auto run_experiment(experiment const& e) -> void
{
    for (auto const& s : all_scenarios())
    {
        if (!e.loads.empty() &&
            std::find(e.loads.begin(), e.loads.end(), s.name) == e.loads.end())
            continue;
        auto runs = std::vector<policy_runs>{};
        for (auto const& p : e.policies)
            runs.push_back(run_policy(s, p, e.seeds));
        std::cout << "\n"
                  << s.name << ": " << s.description << "\n\n"
                  << table_of(runs) << std::flush;
        if (!e.plots.empty())
            std::ofstream{e.plots + "/" + s.name + ".svg"}
                << plot_of(s.name, runs);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return ks::leaf::try_handle_all(
        [&]() -> ks::leaf::result<int>
        {
            BOOST_LEAF_AUTO(e, parse_experiment({argv + 1, argv + argc}));
            run_experiment(e);
            return 0;
        },
        [](ks::usage_error const& e)
        {
            std::cerr << e.usage;
            return 2;
        },
        [](ks::ini_errors const& e)
        {
            for (auto const& it : e.list)
                std::cerr << it.key << ": expected " << it.expected << "\n";
            return 2;
        },
        []
        {
            std::cerr << "experiment: unknown error\n";
            return 1;
        });
}
