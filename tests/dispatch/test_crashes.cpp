#include "core/dispatch/crash_suspicion.hpp"
#include "core/random.hpp"
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::seconds;
using ks::time_point;

namespace
{

constexpr auto target_count = 14;
constexpr auto restart_time = seconds{3};
constexpr auto confirm_time = milliseconds{4'000};

/// Instances that share targets, each of which ends when it begins to run a
/// request for one path. Reports reach the other instances at once.
struct crash_fleet
{
    std::vector<std::unique_ptr<harness>> instances;
    std::map<std::string, time_point> down_until; ///< By target.
    std::vector<ks::target_registration> targets;
    std::vector<std::size_t> commands_read;
    std::uint64_t revision = 1'000;
    std::size_t ended = 0;
    std::size_t deadly_arrivals = 0;
    std::size_t arrivals_too_late = 0; ///< After the third end and some time.
    std::size_t served = 0;            ///< Other requests that were answered.
    std::size_t refused = 0;           ///< Other requests that were refused.
    time_point third_end = time_point::max();
    std::set<std::string> deadly_ids;
    /// Addresses of the connections of each instance.
    std::vector<std::map<ks::connection_id, std::string>> connections;

    crash_fleet(std::size_t n, ks::route const& r)
        : commands_read(n, 0), connections(n)
    {
        auto const zones = std::vector<std::string>{"a", "b", "c"};
        for (auto i = 0; i < target_count; ++i)
            targets.push_back(make_registration("t" + std::to_string(i), "s",
                zones[static_cast<std::size_t>(i) % zones.size()]));
        auto fleet = std::vector<ks::instance_record>{};
        for (std::size_t i = 0; i < n; ++i)
            fleet.push_back({"n" + std::to_string(i), zones[i % 3], "north"});
        for (auto const& it : fleet)
        {
            auto h =
                std::make_unique<harness>(dispatch_limits{}, it.zone, it.name);
            h->finish_startup();
            h->feed_lists(config_of(r), targets, fleet);
            instances.push_back(std::move(h));
        }
    }

    auto now() const -> time_point { return instances.front()->now; }

    auto is_down(std::string const& target) const -> bool
    {
        auto const it = down_until.find(target);
        return it != down_until.end() && now() < it->second;
    }

    auto set_refused() -> void
    {
        auto addresses = std::vector<std::string>{};
        for (auto const& it : targets)
            if (is_down(it.name))
                addresses.push_back(it.address);
        for (auto& it : instances)
            it->refused_addresses = addresses;
    }

    auto crash(std::string const& target) -> void
    {
        ++ended;
        if (ended == 3)
            third_end = now();
        down_until[target] = now() + restart_time;
        set_refused();
        for (std::size_t i = 0; i < instances.size(); ++i)
            reset_connections(i, target + ":1");
    }

    auto reset_connections(std::size_t i, std::string const& address) -> void
    {
        auto lost = std::vector<ks::connection_id>{};
        for (auto const& [id, to] : connections[i])
            if (to == address)
                lost.push_back(id);
        for (auto const id : lost)
            instances[i]->feed(
                connection_closed{id, connection_end::reset, false});
    }

    auto handle(harness& r, sent_request const& it) -> void
    {
        if (is_down(it.target))
            return r.break_connection(it);
        auto const deadly = deadly_ids.contains(it.request);
        if (!deadly)
            return r.succeed(it);
        ++deadly_arrivals;
        arrivals_too_late +=
            third_end != time_point::max() && now() > third_end + confirm_time
                ? 1
                : 0;
        crash(it.target);
        r.break_connection(it);
    }

    /// Follows an instance's connections, and delivers its reports to all.
    auto read_commands(std::size_t i) -> void
    {
        auto const& all = instances[i]->all_commands;
        while (commands_read[i] < all.size())
        {
            auto const c = all[commands_read[i]++];
            if (auto const* o = std::get_if<open_connection>(&c))
                connections[i][o->connection] = o->address;
            if (auto const* o = std::get_if<close_connection>(&c))
                connections[i].erase(o->connection);
            auto const* it = std::get_if<store_write_report>(&c);
            if (it == nullptr)
                continue;
            ++revision;
            for (auto& r : instances)
                r->feed(store_changed{ks::store_kind::reports,
                    {{{it->report.name, revision, it->report}, false}},
                    revision});
        }
    }

    auto step(ks::duration d) -> void
    {
        set_refused();
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            instances[i]->advance(d);
            read_commands(i);
            for (auto sent = instances[i]->take_sent(); !sent.empty();
                 sent = instances[i]->take_sent())
                for (auto const& it : sent)
                    handle(*instances[i], it);
        }
    }

    /// Sends requests that end targets each 300 ms and ordinary ones each 10
    /// ms.
    auto run(seconds length) -> void
    {
        auto random = ks::random_state{3, 0};
        for (auto ms = 0; ms < 1'000 * length.count(); ms += 10)
        {
            auto& at = *instances[draw_below(random, instances.size())];
            auto const deadly = ms % 300 == 0;
            auto const id = (deadly ? "d" : "q") + std::to_string(ms);
            if (deadly)
                deadly_ids.insert(id);
            auto const c = at.submit(
                id, deadly ? "/p/deadly" : "/p/" + std::to_string(ms % 70));
            step(milliseconds{10});
            auto const a = at.answer_to(c);
            if (deadly || !a)
                continue;
            served += is<ks::answer_relayed>(a->answer) ? 1 : 0;
            refused += is<ks::answer_refused>(a->answer) ? 1 : 0;
        }
    }
};

} // namespace

TEST_CASE("crashes: a request that ends targets is not sent again by any "
          "instance")
{
    for (auto const n : {1u, 6u, 8u, 71u, 295u})
        for (auto const at_most_once : {false, true})
        {
            CAPTURE(n);
            CAPTURE(at_most_once);
            auto const r = single_route("s");
            auto f = crash_fleet{n, at_most_once ? with_at_most_once(r) : r};
            f.run(seconds{30});
            INFO("ended=" << f.ended << " arrivals=" << f.deadly_arrivals
                          << " late=" << f.arrivals_too_late);
            CHECK(f.ended >= 2);
            CHECK(f.arrivals_too_late <= 3);
            CHECK(f.refused == 0);
            CHECK(f.served > 2'000);
        }
}

TEST_CASE("crashes: a request that was in flight beside a deadly one is not "
          "refused")
{
    auto c = crash_suspicions{};
    auto const deadly = ks::fingerprint{1};
    auto const other = ks::fingerprint{2};
    auto const t = time_point{seconds{50}};
    for (auto const* target : {"t1", "t2"})
    {
        c = with_lost(c, {deadly, target, 5, t});
        c = with_lost(c, {other, target, 5, t});
        c = with_ended(c, target, t + seconds{1});
        c = with_answered(c, other);
    }
    CHECK(is_deadly(c, {}, deadly));
    CHECK(!is_deadly(c, {}, other));
}

TEST_CASE("crashes: content that targets answer is served although its targets "
          "end")
{
    auto r = harness{};
    r.finish_startup();
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    for (auto i = 0; i < 3; ++i)
    {
        auto const c = r.submit("q" + std::to_string(i), "/p/popular");
        auto const sent = r.take_sent();
        REQUIRE(sent.size() == 1);
        r.refused_addresses = {sent[0].target + ":1"};
        r.break_connection(sent[0]);
        for (auto const& it : r.take_sent())
            r.succeed(it);
        REQUIRE(r.answer_to(c));
        CHECK(is<ks::answer_relayed>(r.answer_to(c)->answer));
        r.refused_addresses.clear();
        r.advance(seconds{2});
    }
}

TEST_CASE("crashes: a lost reply of a target that goes on is held against "
          "nobody")
{
    auto c = crash_suspicions{};
    auto const t = time_point{seconds{50}};
    for (auto const* target : {"t1", "t2", "t3"})
        c = with_lost(c, {ks::fingerprint{1}, target, 5, t});
    CHECK(!is_deadly(c, {}, ks::fingerprint{1}));
    c = with_ended(c, "t1", t + seconds{30});
    CHECK(!is_deadly(c, {}, ks::fingerprint{1}));
    CHECK(without_expired(c, t + seconds{30}).lost.empty());
}

TEST_CASE(
    "crashes: the same end of a target, reported by two instances, counts "
    "once")
{
    auto c = crash_suspicions{};
    auto const t = time_point{seconds{50}};
    c = with_lost(c, {ks::fingerprint{1}, "t1", 5, t});
    c = with_ended(c, "t1", t);
    auto reported = std::vector<ks::target_crash>{{1, "t1", 5}};
    CHECK(!is_deadly(c, reported, ks::fingerprint{1}));
    reported.push_back({1, "t1", 9});
    CHECK(is_deadly(c, reported, ks::fingerprint{1}));
}
