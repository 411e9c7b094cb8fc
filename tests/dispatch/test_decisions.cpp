#include "core/dispatch/choice.hpp"
#include "core/dispatch/follow.hpp"
#include "core/dispatch/health.hpp"
#include "core/dispatch/route_table.hpp"
#include "core/dispatch/sharing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::time_point;

namespace
{

constexpr auto limits = dispatch_limits{};
constexpr auto start = time_point{ks::seconds{10}};

auto follow_of(follow_phase phase, std::uint64_t revision = 0) -> follow_state
{
    auto f = follow_state{};
    f.kind = ks::store_kind::targets;
    f.phase = std::move(phase);
    f.known = {0, revision};
    return f;
}

template <class Command>
auto first_command(follow_step const& s) -> Command
{
    return std::get<Command>(s.out.at(0));
}

} // namespace

TEST_CASE(
    "follow: all pages are read, then watched from the first one's revision")
{
    auto s = resume(follow_of(pausing{start}), limits, start);
    CHECK(first_command<store_list>(s).after.empty());
    s = with_page(s.next, {ks::store_kind::targets, {}, "m", 7}, limits, start);
    CHECK(first_command<store_list>(s).after == "m");
    s = with_page(s.next, {ks::store_kind::targets, {}, "", 9}, limits, start);
    CHECK(first_command<store_watch>(s).revision == 7);
}

TEST_CASE(
    "follow: a failure is retried from the same revision, with growing delays")
{
    auto f = follow_of(watching{}, 7);
    auto waits = std::vector<ks::duration>{};
    for (auto i = 0; i < 5; ++i)
    {
        auto const s = with_failure(f, limits, 0.5, start);
        waits.push_back(std::get<pausing>(s.next.phase).until - start);
        CHECK(s.next.known.revision == 7);
        f = s.next;
    }
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    CHECK(waits.back() <= ks::seconds{2});
    auto const s = resume(f, limits, start + ks::seconds{5});
    CHECK(first_command<store_watch>(s).revision == 7);
}

TEST_CASE("follow: after a loss of history the kind is listed again")
{
    auto const s = without_history(follow_of(watching{}, 7), limits, start);
    CHECK(first_command<store_list>(s).after.empty());
    CHECK(!first_command<store_list>(s).may_be_stale);
}

TEST_CASE("follow: a burst of changes causes one watch per pause")
{
    auto f = follow_of(watching{}, 7);
    auto const e = store_changed{ks::store_kind::targets, {{}}, 8};
    auto const s = with_changes(f, e, limits, start);
    CHECK(
        std::get<pausing>(s.next.phase).until == start + limits.targets_pause);
    auto const quiet = store_changed{ks::store_kind::targets, {}, 9};
    CHECK(first_command<store_watch>(with_changes(f, quiet, limits, start))
              .revision == 9);
}

TEST_CASE("follow: after a long batch of changes the next watch starts at once")
{
    auto e = store_changed{ks::store_kind::targets, {}, 8};
    e.changes.resize(499); // The store returns about 500 at most.
    auto const s = with_changes(follow_of(watching{}, 7), e, limits, start);
    REQUIRE(!s.out.empty());
    CHECK(first_command<store_watch>(s).revision == 8);
}

TEST_CASE("follow: instances are polled less and less often; the second list "
          "is fresh")
{
    auto f = follow_of(pausing{start});
    f.kind = ks::store_kind::instances;
    auto waits = std::vector<ks::duration>{};
    for (auto i = 0; i < 6; ++i)
    {
        f.phase = pausing{start};
        auto const s = resume(f, limits, start);
        CHECK(first_command<store_list>(s).may_be_stale == (i != 1));
        f = with_page(s.next, {f.kind, {}, "", 9}, limits, start).next;
        waits.push_back(std::get<pausing>(f.phase).until - start);
    }
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    CHECK(waits.back() == ks::duration{limits.poll_most});
}

TEST_CASE("split: shares follow the weights at any time")
{
    CHECK(rc::check(
        []
        {
            auto split = ks::to_split{};
            auto const n = *rc::gen::inRange(1, 5);
            auto total = 0u;
            for (auto i = 0; i < n; ++i)
            {
                auto const w =
                    static_cast<std::uint32_t>(*rc::gen::inRange(0, 100));
                split.parts.push_back({"s" + std::to_string(i), w});
                total += w;
            }
            RC_PRE(total > 0u);
            auto credits = std::vector<std::int64_t>{};
            auto counts = std::vector<double>(split.parts.size());
            auto const rounds = *rc::gen::inRange(1, 400);
            for (auto i = 0; i < rounds; ++i)
                counts[next_split_part(split, credits)] += 1;
            for (std::size_t i = 0; i < counts.size(); ++i)
            {
                auto const expected =
                    static_cast<double>(rounds) * split.parts[i].weight / total;
                RC_ASSERT(std::abs(counts[i] - expected) <= n);
            }
        }));
}

TEST_CASE("merge of records equals a full sort")
{
    CHECK(rc::check(
        [](std::vector<std::string> const& bodies, std::uint8_t top)
        {
            auto parts = std::vector<std::string_view>{};
            auto all = std::vector<std::string>{};
            for (auto const& it : bodies)
            {
                parts.push_back(it);
                for (std::size_t at = 0; at + 16 <= it.size(); at += 16)
                    all.push_back(it.substr(at, 16));
            }
            std::sort(all.begin(), all.end(), std::greater<>{});
            all.resize(std::min<std::size_t>(all.size(), top));
            auto expected = std::string{};
            for (auto const& it : all)
                expected += it;
            RC_ASSERT(merge_records(parts, top) == expected);
        }));
}

TEST_CASE("choice: a stalled, slow, failing, far or full target is avoided")
{
    auto good = candidate{};
    good.typical_latency = milliseconds{15};
    good.stall_after = milliseconds{40};
    good.slots = 3;
    good.idle = true;
    auto stalled = good;
    stalled.in_flight = 1;
    stalled.silence = milliseconds{60};
    auto slow = good;
    slow.slowness = 5;
    auto failing = good;
    failing.failure_rate = 0.5;
    auto far = good;
    far.typical_latency = milliseconds{55};
    auto full = good;
    full.in_flight = 9;
    auto r = ks::random_state{1, 0};
    for (auto const& bad : {stalled, slow, failing, far, full})
        for (auto i = 0; i < 50; ++i)
            CHECK(choose(std::vector{bad, good}, r) == 1);
    CHECK(choose(std::vector<candidate>{}, r) == std::nullopt);
}

TEST_CASE("health: a timeout suspends, a reply ends it, estimates decay")
{
    auto h = with_sent({}, start);
    h = with_timeout(h, limits, start + milliseconds{400});
    CHECK(!admits_request(h, start + milliseconds{500}));
    CHECK(admits_request(h, start + milliseconds{800}));
    h = with_sent(h, start + milliseconds{800});
    CHECK(!admits_request(h, start + milliseconds{810}));
    h = with_reply(h, 9.0, false, false, limits, start + milliseconds{820});
    CHECK(admits_request(h, start + milliseconds{830}));
    CHECK(slowness_at(h, limits, start + milliseconds{820}) > 2);
    CHECK(slowness_at(h, limits, start + ks::seconds{20}) < 1.1);
}

namespace
{

/// Instances in several regions, and targets with connection limits.
struct fleet
{
    std::vector<ks::instance_record> instances;
    std::vector<shared_target> targets;
};

auto gen_fleet() -> rc::Gen<fleet>
{
    return rc::gen::exec(
        []
        {
            auto f = fleet{};
            auto const regions = *rc::gen::inRange(1, 5);
            auto const n = *rc::gen::inRange(1, 120);
            for (auto i = 0; i < n; ++i)
                f.instances.push_back({"i" + std::to_string(i), "z",
                    std::to_string(*rc::gen::inRange(0, regions))});
            auto const m = *rc::gen::inRange(1, 8);
            for (auto i = 0; i < m; ++i)
                f.targets.push_back(
                    {ks::target_id{static_cast<std::uint64_t>(i + 1)},
                        std::to_string(*rc::gen::inRange(0, regions)),
                        static_cast<std::uint32_t>(*rc::gen::inRange(1, 200))});
            return f;
        });
}

/// Number of targets that an instance may connect to.
auto reachable_targets(fleet const& f, ks::instance_record const& it) -> long
{
    auto const n = connection_shares(f.targets, f.instances, it);
    return std::count_if(n.begin(), n.end(), [](auto c) { return c > 0; });
}

} // namespace

TEST_CASE("connections: all instances together stay within a target's limit")
{
    CHECK(rc::check(
        []
        {
            auto const f = *gen_fleet();
            auto sums = std::vector<std::uint32_t>(f.targets.size());
            for (auto const& it : f.instances)
            {
                auto const n = connection_shares(f.targets, f.instances, it);
                for (std::size_t i = 0; i < n.size(); ++i)
                    sums[i] += n[i];
            }
            for (std::size_t i = 0; i < sums.size(); ++i)
                RC_ASSERT(sums[i] <= f.targets[i].connections);
        }));
}

TEST_CASE("connections: if there are enough, each instance reaches two targets")
{
    CHECK(rc::check(
        []
        {
            auto f = *gen_fleet();
            RC_PRE(f.targets.size() > 1u);
            auto const n = static_cast<std::uint32_t>(f.instances.size());
            for (auto& t : f.targets)
                t.connections = 2 * n;
            for (auto const& it : f.instances)
            {
                RC_ASSERT(reachable_targets(f, it) >= 2);
            }
        }));
}

TEST_CASE("connections: in a large fleet each instance reaches its near "
          "targets, most reach two")
{
    // 72 instances in three regions, three targets of 57 usable connections.
    auto f = fleet{};
    for (auto i = 0; i < 72; ++i)
        f.instances.push_back(
            {"i" + std::to_string(i), "z", std::to_string(i % 3)});
    for (auto i = 0; i < 3; ++i)
        f.targets.push_back({ks::target_id{static_cast<std::uint64_t>(i + 1)},
            std::to_string(i), 57});
    auto twice = 0;
    for (auto const& it : f.instances)
    {
        auto const n = connection_shares(f.targets, f.instances, it);
        for (std::size_t i = 0; i < n.size(); ++i)
            CHECK((f.targets[i].region != it.region || n[i] > 0));
        twice += reachable_targets(f, it) >= 2;
    }
    CHECK(twice >= 65);
}

TEST_CASE("connections: after a power loss all instances fit beside stale "
          "connections")
{
    // 80 instances; the targets still count the connections of the processes
    // before the power loss.
    auto f = fleet{};
    for (auto i = 0; i < 80; ++i)
        f.instances.push_back(
            {"i" + std::to_string(i), "z", std::to_string(i % 3)});
    constexpr auto accepted = 72u;
    constexpr auto targets = 3u;
    auto const used =
        static_cast<std::uint32_t>(limits.min_connection_share * accepted);
    CHECK((accepted - used) * targets >= f.instances.size());
    for (auto i = 0u; i < targets; ++i)
        f.targets.push_back({ks::target_id{i + 1}, std::to_string(i), used});
    for (auto const& it : f.instances)
        CHECK(reachable_targets(f, it) >= 1);
}
