/// Checks the guarantees under random schedules of faults, which may overlap
/// and repeat.
#include "../fakes.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace fakes;

namespace
{

/// Injects one fault; most end after a random time.
auto add_fault(world& w, std::uint64_t kind, std::uint64_t n) -> void
{
    auto it = w.leafs.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(n % w.leafs.size()));
    auto& l = it->second;
    auto const recovery = us{20'000 + w.draw(200'000)};
    auto const i = n % w.instances.size();
    auto const set_temporarily = [&](bool& f)
    {
        f = true;
        w.run_after(recovery, [&f] { f = false; });
    };
    switch (kind % 12)
    {
    case 0:
        return w.crash(it->first, recovery);
    case 1:
        return set_temporarily(l.frozen);
    case 2:
        return set_temporarily(l.mismatched_id);
    case 3:
        l.silent_connections = l.open;
        return;
    case 4:
        l.latency = us{l.latency.count() == 2'000 ? 20'000 : 2'000};
        return;
    case 5:
        l.versions = {l.versions.back(), l.versions.back() + 1};
        return;
    case 6:
        return set_temporarily(l.shedding);
    case 7:
        return set_temporarily(l.drop_booking_replies);
    case 8:
        w.platform.lose_answers += 2;
        return;
    case 9:
        return set_temporarily(w.platform.down);
    case 10:
        w.kill(i);
        return w.run_after(recovery, [&w, i] { w.start(i); });
    default:
        w.pause(i);
        return w.run_after(recovery, [&w, i] { w.resume(i); });
    }
}

auto total_runs(world const& w) -> std::map<std::string, int>
{
    auto runs = std::map<std::string, int>{};
    for (auto const& [address, l] : w.leafs)
        for (auto const& [key, n] : l.booking_runs)
            runs[key] += n;
    return runs;
}

/// Asserts that all rows belong to one snapshot and the caller's query text,
/// and that their number matches the coverage.
auto check_answer(outcome const& o, std::string const& text) -> void
{
    if (!o.answer)
        return;
    auto const& a = *o.answer;
    auto seen = std::set<std::string>{};
    for (auto const& r : a.rows)
        seen.insert(r.key);
    auto matching = std::size_t{0};
    for (std::uint32_t i = 0; i < a.covered.total; ++i)
        matching += seen.contains(world::row_key({i}, a.at, text)) ? 1 : 0;
    RC_ASSERT(matching == a.rows.size());
    RC_ASSERT(matching == a.covered.answered);
    RC_ASSERT(matching + a.covered.missing.size() == a.covered.total);
}

/// Index of the instance that received a request, and its incarnation.
using destination = std::pair<std::size_t, std::uint32_t>;

auto run_schedule(std::uint64_t seed,
    std::vector<std::pair<std::uint64_t, std::uint64_t>> const& faults) -> void
{
    auto w = standard_world(seed, 3);
    auto texts = std::map<std::uint64_t, std::string>{};
    auto bookings = std::map<std::uint64_t, std::string>{};
    auto sent_to = std::map<std::uint64_t, destination>{};
    auto next = std::size_t{0};
    for (auto n = 0; n < 60; ++n)
    {
        while (
            next < faults.size() && faults[next].first % 60 <= std::uint64_t(n))
        {
            add_fault(*w, faults[next].second, faults[next].first);
            ++next;
        }
        auto const i = static_cast<std::size_t>(n) % 3;
        auto const text = "warm-" + std::to_string(n % 45);
        if (w->instances[i]->live_node)
        {
            auto const id = w->query(i, "voorraad", text);
            texts[id] = text;
            sent_to[id] = {i, w->instances[i]->incarnation};
        }
        // Each key is sent three times, through different instances.
        auto const key = "b" + std::to_string(n / 3);
        if (w->instances[i]->live_node)
        {
            auto const id = w->book(i, "voorraad", key);
            bookings[id] = key;
            sent_to[id] = {i, w->instances[i]->incarnation};
        }
        w->run_for(us{3'000 + w->draw(12'000)});
    }
    w->platform.down = false;
    w->run_for(seconds{4});
    // Each caller whose instance was not killed received one answer.
    for (auto const& [id, to] : sent_to)
        if (w->instances[to.first]->incarnation == to.second)
            RC_ASSERT(w->callers[id].count == 1u);
    auto const runs = total_runs(*w);
    RC_TAG(runs.size() > 10 ? "most bookings ran" : "few bookings ran");
    for (auto const& [key, n] : runs)
        RC_ASSERT(n <= 1);
    auto not_run = std::map<std::string, int>{};
    auto others = std::map<std::string, int>{};
    for (auto const& [id, key] : bookings)
    {
        auto const& o = w->callers[id];
        RC_ASSERT(o.count <= 1u);
        auto const is_not_run =
            o.booking && std::holds_alternative<booking_not_run>(*o.booking);
        ++(is_not_run ? not_run : others)[key];
        if (o.booking && std::holds_alternative<booking_done>(*o.booking))
            RC_ASSERT(runs.contains(key));
    }
    // If every request for a key was answered "not run", it did not run.
    for (auto const& [key, n] : not_run)
        if (!others.contains(key))
            RC_ASSERT(!runs.contains(key));
    for (auto const& [id, text] : texts)
    {
        RC_ASSERT(w->callers[id].count <= 1u);
        check_answer(w->callers[id], text);
    }
}

} // namespace

TEST_CASE("guarantees hold under random interleavings of faults")
{
    CHECK(rc::check("interleavings",
        []
        {
            using fault = std::pair<std::uint64_t, std::uint64_t>;
            auto const seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            auto faults = *rc::gen::container<std::vector<fault>>(
                rc::gen::pair(rc::gen::inRange<std::uint64_t>(0, 6'000),
                    rc::gen::inRange<std::uint64_t>(0, 12)));
            std::sort(faults.begin(), faults.end(),
                [](fault const& a, fault const& b)
                { return a.first % 60 < b.first % 60; });
            run_schedule(seed, faults);
        }));
}
