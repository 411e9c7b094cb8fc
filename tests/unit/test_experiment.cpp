// The experiment tool's metrics, and the load model that it simulates.
#include "experiment/report.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

/// Simulates two seconds of load on one route to a service with one target.
auto simulated(target_model const& t, load_plan plan = {}) -> load_result
{
    plan.length = ks::seconds{2};
    return load_simulation{
        {1, config_of(single_route("s")), {make_registration("s-a", "s", "a")},
            {{"s-a", t}}}}
        .simulate(plan);
}

} // namespace

TEST_CASE("experiment: a confidence interval shrinks with the number of runs")
{
    CHECK(estimate_of({1, 1, 1}).half_width == 0);
    auto const few = estimate_of({1, 3});
    CHECK(few.mean == doctest::Approx(2));
    CHECK(few.half_width == doctest::Approx(1.96));
    CHECK(estimate_of({1, 3, 1, 3, 1, 3, 1, 3}).half_width < few.half_width);
}

TEST_CASE("experiment: the worst two seconds and quantiles are found")
{
    auto r = load_result{};
    r.submitted = 40;
    r.in_time = 30;
    r.seconds = {{10, 10}, {10, 2}, {10, 8}, {10, 10}};
    for (auto i = 1; i <= 101; ++i)
        r.latencies.push_back(milliseconds{i});
    auto const f = metrics_of(r);
    CHECK(f.in_time == doctest::Approx(0.75));
    CHECK(f.worst_two_seconds == doctest::Approx(0.5));
    CHECK(f.p50_ms == doctest::Approx(51));
    CHECK(f.p99_ms == doctest::Approx(100));
}

TEST_CASE("experiment: a table compares the last policy with the first")
{
    auto one = load_result{};
    one.submitted = 10;
    one.in_time = 5;
    auto other = one;
    other.in_time = 10;
    auto const text = table_of({{"a", {one, one}}, {"b", {other, other}}});
    CHECK(text.find("| in time | 0.5000 ± 0.0000 | 1.0000 ± 0.0000 | 0.5000 ± "
                    "0.0000 |") != std::string::npos);
}

TEST_CASE("experiment: the same seed gives the same arrivals and results")
{
    auto plan = load_plan{};
    plan.seed = 7;
    auto const a = simulated({}, plan);
    CHECK(a == simulated({}, plan));
    plan.seed = 8;
    CHECK(!(a == simulated({}, plan)));
}

TEST_CASE("experiment: pauses, hangs and network delay show in caller results")
{
    auto const baseline = simulated({});
    CHECK(baseline.in_time == baseline.submitted);
    auto far = target_model{};
    far.network_delay = milliseconds{20};
    CHECK(simulated(far).latencies.front() >=
          baseline.latencies.front() + 2 * milliseconds{20} - milliseconds{2});
    auto pausing = target_model{};
    pausing.pause_every = milliseconds{500};
    pausing.pause_length = milliseconds{150};
    CHECK(simulated(pausing).latencies.back() >= milliseconds{100});
    auto hanging = target_model{};
    hanging.hang_every = 10;
    CHECK(simulated(hanging).failed > 0);
}
