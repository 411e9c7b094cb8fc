/// Rollouts: good versions complete on time, bad ones are rolled back.
#include "../fakes.hpp"
#include "core/rollout.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace fakes;

namespace
{

/// Three instances and one service; each of its three shards has two replicas
/// of version v1 and two of v2.
auto rollout_world(std::uint64_t seed) -> std::unique_ptr<world>
{
    auto w = std::make_unique<world>(seed);
    w->config.name = "regie";
    w->add_service(
        "voorraad", 3, {"gent-dok", "brugge-zuid", "gent-dok", "brugge-zuid"});
    auto& s = w->config.services[0];
    for (auto& t : s.targets)
        t.version =
            t.name.ends_with("-2") || t.name.ends_with("-3") ? "v2" : "v1";
    w->add_instance("entry-1", "gent-dok");
    w->add_instance("entry-2", "brugge-zuid");
    w->add_instance("entry-3", "gent-dok");
    w->publish();
    w->run_for(seconds{2});
    return w;
}

/// Starts a rollout from v1 to v2 that takes six seconds.
auto start_rollout(world& w) -> void
{
    auto& r = w.config.services[0].rollout;
    r.id = 1;
    r.from = "v1";
    r.to = "v2";
    r.steps_percent = {5, 25, 50};
    r.duration = seconds{6};
    r.min_samples = 30;
    w.publish();
}

auto is_new(fake_leaf const& l) -> bool
{
    return l.info.name.ends_with("-2") || l.info.name.ends_with("-3");
}

/// Sends `n` queries, one every 10 ms.
///
/// @returns The share of them that was answered completely.
auto send_queries(world& w, int n) -> double
{
    auto ids = std::vector<std::uint64_t>{};
    for (auto i = 0; i < n; ++i)
    {
        auto const at = static_cast<std::size_t>(i) % w.instances.size();
        if (w.instances[at]->live_node)
            ids.push_back(
                w.query(at, "voorraad", "q" + std::to_string(i % 20)));
        w.run_for(milliseconds{10});
    }
    w.run_for(milliseconds{300});
    auto complete = 0.0;
    for (auto const id : ids)
        complete += w.callers[id].answer &&
                            w.callers[id].answer->covered.missing.empty()
                        ? 1
                        : 0;
    return complete / static_cast<double>(ids.size());
}

auto received_by_new(world const& w) -> std::uint32_t
{
    auto n = 0u;
    for (auto const& [address, l] : w.leafs)
        n += is_new(l) ? l.received : 0;
    return n;
}

auto received_by_all(world const& w) -> std::uint32_t
{
    auto n = 0u;
    for (auto const& [address, l] : w.leafs)
        n += l.received;
    return n;
}

auto state_of(world const& w) -> rollout
{
    REQUIRE(w.platform.rollouts.size() == 1);
    return w.platform.rollouts.begin()->second.value;
}

/// True if no step repeats, goes back or skips one, and none follows the end of
/// its rollout.
auto is_monotonic(std::vector<rollout> const& history) -> bool
{
    for (std::size_t i = 1; i < history.size(); ++i)
    {
        auto const& a = history[i - 1];
        auto const& b = history[i];
        auto const forward = b.id > a.id || b.step > a.step ||
                             b.phase == rollout_phase::rolled_back;
        if (a.phase != rollout_phase::running && b.id == a.id)
            return false;
        if (!forward || b.step > a.step + 1)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("a good version gets all traffic by the end of the rollout")
{
    auto w = rollout_world(30);
    send_queries(*w, 100);
    CHECK(received_by_new(*w) > 0); // Without a rollout any replica serves.
    start_rollout(*w);
    w->run_for(milliseconds{500});
    auto const before = received_by_new(*w);
    auto const all = received_by_all(*w);
    CHECK(send_queries(*w, 100) == 1);
    auto const share = static_cast<double>(received_by_new(*w) - before) /
                       (received_by_all(*w) - all);
    CHECK(share < 0.15);
    CHECK(send_queries(*w, 600) == 1);
    CHECK(state_of(*w).phase == rollout_phase::completed);
    CHECK(state_of(*w).changed_ms - state_of(*w).started_ms <= 6'500);
    CHECK(is_monotonic(w->platform.history));
    w->run_for(seconds{1});
    auto const settled = received_by_all(*w) - received_by_new(*w);
    send_queries(*w, 50);
    CHECK(received_by_all(*w) - received_by_new(*w) == settled);
}

TEST_CASE("a bad version gets a small share, then none, and stays rolled back")
{
    for (auto const slow : {false, true})
    {
        CAPTURE(slow);
        auto w = rollout_world(31);
        send_queries(*w, 100);
        start_rollout(*w);
        w->run_for(milliseconds{500});
        for (auto& [address, l] : w->leafs)
            if (is_new(l) && slow)
                l.latency = us{20'000};
            else if (is_new(l))
                l.fail_percent = 50;
        auto const before = received_by_new(*w);
        auto const all = received_by_all(*w);
        CHECK(send_queries(*w, 400) == 1);
        w->run_for(seconds{1});
        auto const share = static_cast<double>(received_by_new(*w) - before) /
                           (received_by_all(*w) - all);
        CHECK(share < 0.15);
        CHECK(state_of(*w).phase == rollout_phase::rolled_back);
        CHECK(state_of(*w).fault ==
              (slow ? rollout_fault::latency : rollout_fault::failures));
        auto const after = received_by_new(*w);
        CHECK(send_queries(*w, 100) == 1);
        CHECK(received_by_new(*w) == after);
        CHECK(is_monotonic(w->platform.history));
    }
}

TEST_CASE("a bad version that gets few queries at each owner is not completed")
{
    for (std::uint64_t seed = 50; seed < 54; ++seed)
    {
        CAPTURE(seed);
        auto w = rollout_world(seed);
        send_queries(*w, 30);
        start_rollout(*w);
        for (auto& [address, l] : w->leafs)
            if (is_new(l))
                l.fail_percent = 35;
        for (auto i = 0; i < 32; ++i)
        {
            w->query(static_cast<std::size_t>(i) % 3, "voorraad",
                "q" + std::to_string(i % 20));
            w->run_for(milliseconds{250});
        }
        CHECK(state_of(*w).phase != rollout_phase::completed);
    }
}

TEST_CASE("a bad version is stopped while the platform is down")
{
    auto w = rollout_world(32);
    send_queries(*w, 100);
    start_rollout(*w);
    w->run_for(milliseconds{500});
    w->platform.down = true;
    for (auto& [address, l] : w->leafs)
        if (is_new(l))
            l.fail_percent = 100;
    send_queries(*w, 200);
    auto const after = received_by_new(*w);
    send_queries(*w, 100);
    CHECK(received_by_new(*w) == after);
    w->platform.down = false;
    w->run_for(seconds{3});
    CHECK(state_of(*w).phase == rollout_phase::rolled_back);
}

TEST_CASE("no step repeats or goes back, and the rollout ends on time, with "
          "drivers killed or paused and answers lost")
{
    for (std::uint64_t seed = 33; seed < 43; ++seed)
    {
        CAPTURE(seed);
        auto w = rollout_world(seed);
        send_queries(*w, 60);
        start_rollout(*w);
        for (auto k = 0; k < 3; ++k)
        {
            auto const i = static_cast<std::size_t>(w->draw(3));
            auto const fault_at = us{w->draw(4'000'000)};
            auto const recover_at = fault_at + us{200'000 + w->draw(1'500'000)};
            if (w->draw(2) == 0)
            {
                w->run_after(fault_at, [&w, i] { w->pause(i); });
                w->run_after(recover_at, [&w, i] { w->resume(i); });
            }
            else
            {
                w->run_after(fault_at, [&w, i] { w->kill(i); });
                w->run_after(recover_at, [&w, i] { w->start(i); });
            }
            w->run_after(fault_at, [&w] { ++w->platform.lose_answers; });
        }
        send_queries(*w, 700);
        w->run_for(seconds{2});
        CHECK(state_of(*w).phase == rollout_phase::completed);
        CHECK(state_of(*w).changed_ms - state_of(*w).started_ms <= 8'500);
        CHECK(is_monotonic(w->platform.history));
    }
}

TEST_CASE("every reachable rollout state satisfies the invariants of a step")
{
    // Exhaustive over three rollout steps and each fault verdict, in six clock
    // steps of 200 ms, up to twice the duration.
    auto policy = rollout_policy{};
    policy.id = 1;
    policy.steps_percent = {5, 25, 50};
    policy.duration = milliseconds{600};
    auto frontier = std::deque<std::pair<rollout, std::int64_t>>{
        {first_step(policy, 0, {}), 0}};
    auto states = 0;
    while (!frontier.empty())
    {
        auto const [r, now_ms] = frontier.front();
        frontier.pop_front();
        ++states;
        if (now_ms > 1'200)
            continue;
        for (auto const fault : {rollout_fault::none, rollout_fault::failures,
                 rollout_fault::latency})
        {
            auto const next = next_step(r, policy, fault, now_ms + 200, {});
            if (!next)
            {
                frontier.emplace_back(r, now_ms + 200);
                continue;
            }
            CHECK(r.phase == rollout_phase::running);
            CHECK(next->step >= r.step);
            CHECK(next->step <= r.step + 1);
            CHECK((fault == rollout_fault::none) ==
                  (next->phase != rollout_phase::rolled_back));
            CHECK(share_percent(*next, policy) <=
                  (fault == rollout_fault::none ? 100u : 0u));
            frontier.emplace_back(*next, now_ms + 200);
        }
    }
    CHECK(states > 100);
}
