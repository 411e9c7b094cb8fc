/// Randomized soak test, such as `ks_soak --seed 7`; exits with 1 if an
/// invariant was violated.
#include "soak_run.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace po = boost::program_options;

namespace
{

/// Runs one seed; keeps its logs if an invariant was violated.
///
/// @returns True if all invariants held.
auto run_seed(soak::soak_settings s, std::uint64_t seed) -> bool
{
    s.seed = seed;
    s.dir = (std::filesystem::temp_directory_path() /
             ("ks-soak-" + std::to_string(getpid()) + "-" +
                 std::to_string(seed)))
                .string();
    std::filesystem::create_directories(s.dir);
    auto w = std::make_unique<soak::soak_run>(s);
    auto const found = w->run();
    std::cout << "seed " << seed << ": " << w->requests() << " requests, "
              << w->faults() << " faults, " << found.size() << " findings\n";
    for (std::size_t i = 0; i < found.size() && i < 10; ++i)
        std::cout << "  broken: " << found[i].invariant << " ("
                  << found[i].detail << ")\n";
    w.reset();
    if (found.empty())
        std::filesystem::remove_all(s.dir);
    else
        std::cout << "  logs: " << s.dir << "\n";
    return found.empty();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto s = soak::soak_settings{};
    auto seeds = std::vector<std::uint64_t>{1};
    auto options = po::options_description{"options"};
    options.add_options()("seed",
        po::value<std::vector<std::uint64_t>>(&seeds)->multitoken(),
        "seeds of the runs")("seconds", po::value<double>(&s.seconds),
        "time in which faults are injected")("instances",
        po::value<std::size_t>(&s.instances), "number of instances")(
        "shards", po::value<std::uint32_t>(&s.shards), "number of shards")(
        "rate", po::value<double>(&s.rate_per_s), "requests per second")("port",
        po::value<std::uint16_t>(&s.first_port),
        "first port of the deployment");
    auto v = po::variables_map{};
    try
    {
        po::store(po::parse_command_line(argc, argv, options), v);
        po::notify(v);
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << "\n" << options;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    s.binary = KS_BINARY;
    auto all_passed = true;
    for (auto const seed : seeds)
        all_passed = run_seed(s, seed) && all_passed;
    return all_passed ? 0 : 1;
}
