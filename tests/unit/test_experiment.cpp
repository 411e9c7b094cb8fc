// The experiment tool's figures, and the model that it plays.
#include "experiment/report.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

/// One route to a service of one target, played for two seconds.
auto played(modelled_target const& t, load_plan plan = {}) -> load_result
{
    plan.length = ks::seconds{2};
    return load_rig{{1, config_of(single_route("s")),
                        {registered("s-a", "s", "a")}, {{"s-a", t}}}}
        .play(plan);
}

} // namespace

TEST_CASE("experiment: an interval shrinks with the number of plays")
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
    r.asked = 40;
    r.in_time = 30;
    r.seconds = {{10, 10}, {10, 2}, {10, 8}, {10, 10}};
    for (auto i = 1; i <= 101; ++i)
        r.took.push_back(milliseconds{i});
    auto const f = metrics_of(r);
    CHECK(f.in_time == doctest::Approx(0.75));
    CHECK(f.worst_two_seconds == doctest::Approx(0.5));
    CHECK(f.p50_ms == doctest::Approx(51));
    CHECK(f.p99_ms == doctest::Approx(100));
}

TEST_CASE("experiment: a table compares the last policy with the first")
{
    auto one = load_result{};
    one.asked = 10;
    one.in_time = 5;
    auto other = one;
    other.in_time = 10;
    auto const text = table_of({{"a", {one, one}}, {"b", {other, other}}});
    CHECK(text.find("| in time | 0.5000 ± 0.0000 | 1.0000 ± 0.0000 | 0.5000 ± "
                    "0.0000 |") != std::string::npos);
}

TEST_CASE("experiment: the same seed gives the same arrivals and figures")
{
    auto plan = load_plan{};
    plan.seed = 7;
    auto const a = played({}, plan);
    CHECK(a == played({}, plan));
    plan.seed = 8;
    CHECK(!(a == played({}, plan)));
}

TEST_CASE("experiment: pauses, hangs and the way show in what callers get")
{
    auto const calm = played({});
    CHECK(calm.in_time == calm.asked);
    auto far = modelled_target{};
    far.way = milliseconds{20};
    CHECK(played(far).took.front() >=
          calm.took.front() + 2 * milliseconds{20} - milliseconds{2});
    auto pausing = modelled_target{};
    pausing.pause_each = milliseconds{500};
    pausing.pause_for = milliseconds{150};
    CHECK(played(pausing).took.back() >= milliseconds{100});
    auto hanging = modelled_target{};
    hanging.hangs_each = 10;
    CHECK(played(hanging).failed > 0);
}
