/// Tests of the planned stop of real processes.
#include "routed_cluster.hpp"

#include <doctest/doctest.h>

using namespace processes;

namespace
{

constexpr auto signals_per_poll = 100;
constexpr auto between_signals = std::chrono::microseconds{100};

/// Sends a signal again and again until the process has ended.
///
/// @returns Its exit code, as `process::exit_code`.
auto exit_under_signals(process& p, int signal, seconds timeout) -> int
{
    auto const end = steady_now() + timeout;
    auto code = p.exit_code(seconds{0});
    while (code == still_runs && steady_now() < end)
    {
        for (auto n = 0; n < signals_per_poll; ++n)
        {
            p.send(signal);
            std::this_thread::sleep_for(between_signals);
        }
        code = p.exit_code(seconds{0});
    }
    return code;
}

} // namespace

TEST_CASE("an instance exits with 0 though signals arrive until its end")
{
    constexpr auto grace = seconds{6};
    auto port = std::uint16_t{25'920};
    for (auto const signal : {SIGTERM, SIGINT, SIGHUP})
    {
        CAPTURE(signal);
        auto c = routed_cluster{port};
        port += 20;
        c.start_instance();
        REQUIRE(wait_for(seconds{5}, [&] { return c.is_ready(); }));
        c.instances[0]->send(SIGTERM);
        CHECK(exit_under_signals(*c.instances[0], signal, grace) == 0);
    }
}
