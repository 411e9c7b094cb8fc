/// Tests of real processes with a request that ends each target that begins to
/// run it.
#include "routed_cluster.hpp"

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace processes;

TEST_CASE("a request that ends targets reaches few of them after the third, at "
          "all instances together")
{
    constexpr auto instance_count = 3;
    constexpr auto replicas = 7;
    constexpr auto stable_window = milliseconds{4'000};
    constexpr auto allowed_late = 3;
    auto cluster = routed_cluster{27'500, replicas};
    for (auto i = 0; i < instance_count; ++i)
        cluster.start_instance(i);
    REQUIRE(wait_for(seconds{10},
        [&] {
            return cluster.is_ready(0) && cluster.is_ready(1) &&
                   cluster.is_ready(2);
        }));
    auto const ended = [&]
    {
        auto n = 0;
        while (!cluster.spec_of("ended", std::to_string(n + 1)).empty())
            ++n;
        return n;
    };
    auto third = time_point::max();
    auto before = -1; ///< Targets that had ended a window after the third.
    auto const end = steady_now() + seconds{14};
    for (auto k = 0; steady_now() < end; ++k)
    {
        cluster.ask("/one/deadly", k % instance_count);
        auto const now = steady_now();
        if (third == time_point::max() && ended() >= 3)
            third = now;
        if (third != time_point::max() && before < 0 &&
            now > third + stable_window)
            before = ended();
        std::this_thread::sleep_for(milliseconds{200});
    }
    auto const all = ended();
    CAPTURE(all);
    CHECK(all >= 2);
    CHECK((before < 0 ? 0 : all - before) <= allowed_late);
    for (auto i = 0; i < instance_count; ++i)
        CHECK(cluster.ask("/one/x", i) == 200);
}
