/// The stand-ins in one executable, by mode: `platform`, `leafs` and `load` for
/// queries; a deployment (`routed`) and callers (`routed-load`) for routed
/// requests.
#include "leaf.hpp"
#include "load.hpp"
#include "platform.hpp"
#include "routed.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace po = boost::program_options;

namespace
{

using standin::leaf_settings;

auto run_until_stopped(event_base* base) -> int
{
    auto const stop = [base]
    {
        event_base_loopbreak(base);
    };
    auto const term =
        knapweedstream::loop_event{base, SIGTERM, EV_SIGNAL, stop};
    auto const interrupt =
        knapweedstream::loop_event{base, SIGINT, EV_SIGNAL, stop};
    std::signal(SIGPIPE, SIG_IGN);
    event_base_dispatch(base);
    return 0;
}

auto run_platform(po::variables_map const& v) -> int
{
    auto const base = knapweedstream::make_event_base();
    auto const it = standin::platform{
        base.get(), {v["port"].as<std::uint16_t>(),
                        knapweedstream::milliseconds{v["lag-ms"].as<int>()}}};
    return run_until_stopped(base.get());
}

/// Runs shards x replicas leafs on consecutive ports, in order of shard.
auto run_leafs(po::variables_map const& v) -> int
{
    auto const base = knapweedstream::make_event_base();
    auto const shards = v["shards"].as<std::uint32_t>();
    auto const replicas = v["replicas"].as<std::uint32_t>();
    auto leafs = std::vector<std::unique_ptr<standin::leaf>>{};
    for (std::uint32_t i = 0; i < shards * replicas; ++i)
    {
        auto s = leaf_settings{};
        s.port = static_cast<std::uint16_t>(v["port"].as<std::uint16_t>() + i);
        s.shard = v["first-shard"].as<std::uint32_t>() + i / replicas;
        s.slots = v["slots"].as<std::uint32_t>();
        s.connections = v["connections"].as<std::uint32_t>();
        s.queue = v["queue"].as<std::uint32_t>();
        s.connect_cost = knapweedstream::duration{v["connect-us"].as<int>()};
        s.service = knapweedstream::duration{v["service-us"].as<int>()};
        s.straggle_share = v["straggle-share"].as<double>();
        s.warmup = knapweedstream::milliseconds{v["warmup-ms"].as<int>()};
        s.versions = v["versions"].as<std::string>();
        s.seed = v["seed"].as<std::uint64_t>() + i;
        leafs.push_back(std::make_unique<standin::leaf>(base.get(), s));
    }
    return run_until_stopped(base.get());
}

auto run_load(po::variables_map const& v) -> int
{
    auto s = standin::load_settings{};
    s.to = v["to"].as<std::vector<std::string>>();
    s.customer = v["customer"].as<std::string>();
    s.service = v["service"].as<std::string>();
    s.rate_per_s = v["rate"].as<double>();
    s.seconds = v["seconds"].as<double>();
    s.warmup_s = v["warmup-s"].as<double>();
    s.deadline_ms = v["deadline-ms"].as<std::uint32_t>();
    s.distinct = v["distinct"].as<std::uint32_t>();
    s.seed = v["seed"].as<std::uint64_t>();
    s.as_json = v.count("json") > 0;
    return standin::run_load(s);
}

/// Runs a store on the first port and targets on the ports after it.
auto run_routed(po::variables_map const& v) -> int
{
    auto const base = knapweedstream::make_event_base();
    auto s = standin::routed_settings{};
    s.store_port = v["port"].as<std::uint16_t>();
    s.first_target_port = static_cast<std::uint16_t>(s.store_port + 1);
    s.shards = v["shards"].as<std::uint32_t>();
    s.replicas = v["replicas"].as<std::uint32_t>();
    s.target_defaults.slots = v["slots"].as<std::uint32_t>();
    s.target_defaults.connections = v["connections"].as<std::uint32_t>();
    s.target_defaults.service =
        knapweedstream::duration{v["service-us"].as<int>()};
    auto const all = standin::routed_deployment{base.get(), s};
    return run_until_stopped(base.get());
}

auto run_routed_callers(po::variables_map const& v) -> int
{
    auto l = standin::routed_load{};
    l.to = v["to"].as<std::vector<std::string>>();
    l.path = v["path"].as<std::string>();
    l.rate_per_s = v["rate"].as<double>();
    l.seconds = v["seconds"].as<double>();
    return standin::run_routed_load(l);
}

auto all_options() -> po::options_description
{
    using std::string;
    using std::uint16_t;
    using std::uint32_t;
    auto d = po::options_description{"options"};
    auto add = d.add_options();
    add("mode", po::value<string>()->required(),
        "platform, leafs, load, routed or routed-load");
    add("port", po::value<uint16_t>()->default_value(0), "first port");
    add("lag-ms", po::value<int>()->default_value(1000),
        "age of the instance list in ms");
    add("shards", po::value<uint32_t>()->default_value(1), "shards");
    add("replicas", po::value<uint32_t>()->default_value(1), "replicas");
    add("first-shard", po::value<uint32_t>()->default_value(0), "number");
    add("slots", po::value<uint32_t>()->default_value(3), "slots");
    add("connections", po::value<uint32_t>()->default_value(30), "limit");
    add("queue", po::value<uint32_t>()->default_value(12),
        "requests queued beyond the slots");
    add("connect-us", po::value<int>()->default_value(6000), "cost");
    add("service-us", po::value<int>()->default_value(2000), "mean");
    add("straggle-share", po::value<double>()->default_value(0), "share");
    add("warmup-ms", po::value<int>()->default_value(0),
        "warm-up time in ms, 0: starts warm");
    add("versions", po::value<string>()->default_value("1"), "served");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed");
    add("to", po::value<std::vector<string>>()->multitoken(), "instances");
    add("customer", po::value<string>()->default_value(""), "customer");
    add("service", po::value<string>()->default_value(""), "service");
    add("rate", po::value<double>()->default_value(100), "queries/s");
    add("seconds", po::value<double>()->default_value(5), "measured time in s");
    add("warmup-s", po::value<double>()->default_value(1),
        "warm-up in s, not measured");
    add("deadline-ms", po::value<uint32_t>()->default_value(200), "ms");
    add("distinct", po::value<uint32_t>()->default_value(100), "texts");
    add("path", po::value<string>()->default_value("/all/x"), "route");
    add("json", "print JSON");
    return d;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const options = all_options();
    auto positional = po::positional_options_description{};
    positional.add("mode", 1);
    auto v = po::variables_map{};
    try
    {
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional(positional)
                      .run(),
            v);
        po::notify(v);
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << "\n" << options;
        return 2;
    }
    auto const mode = v["mode"].as<std::string>();
    if (mode == "platform")
        return run_platform(v);
    if (mode == "leafs")
        return run_leafs(v);
    if (mode == "load")
        return run_load(v);
    if (mode == "routed")
        return run_routed(v);
    if (mode == "routed-load")
        return run_routed_callers(v);
    std::cerr << options;
    return 2;
}
