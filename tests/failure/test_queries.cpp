/// Guarantees for queries, each under the failure that it covers.
#include "../fakes.hpp"

#include <doctest/doctest.h>

using namespace fakes;

namespace
{

/// True if all rows belong to one snapshot and the coverage matches them.
auto is_truthful(query_answer const& a, std::string const& text) -> bool
{
    auto seen = std::set<std::string>{};
    for (auto const& r : a.rows)
        seen.insert(r.key);
    auto answered = 0u;
    for (std::uint32_t i = 0; i < a.covered.total; ++i)
        answered += seen.contains(world::row_key({i}, a.at, text)) ? 1 : 0;
    return answered == seen.size() && answered == a.covered.answered &&
           a.covered.answered + a.covered.missing.size() == a.covered.total;
}

} // namespace

TEST_CASE("an answer has one snapshot when the index version changes mid-query")
{
    auto w = standard_world(1);
    for (auto n = 0; n < 40; ++n)
    {
        auto const text = "q" + std::to_string(n);
        auto const id = w->query(n % 3, "voorraad", text);
        auto shard = 0;
        for (auto& [address, l] : w->leafs)
            w->run_after(us{300 + 700 * (shard++ % 6)},
                [&l, n] { l.versions = {2u + n}; });
        w->run_for(milliseconds{250});
        auto const& o = w->callers[id];
        REQUIRE(o.count == 1);
        REQUIRE(o.answer);
        CHECK(is_truthful(*o.answer, text));
    }
}

TEST_CASE("a query during a version change is complete at the new version")
{
    auto w = standard_world(2);
    auto const id = w->query(0, "voorraad", "x", milliseconds{400});
    w->run_after(us{200},
        [&]
        {
            for (auto& [address, l] : w->leafs)
                l.versions = {2};
        });
    w->run_for(milliseconds{500});
    CHECK(is_complete(w->callers[id]));
    CHECK(w->callers[id].answer->at == snapshot{1, 2});
}

TEST_CASE("coverage names the shard whose replicas are down, and only that one")
{
    auto w = standard_world(3);
    w->crash("voorraad-2-0", seconds{10});
    w->crash("voorraad-2-1", seconds{10});
    w->run_for(milliseconds{100});
    auto const id = w->query(1, "voorraad", "x");
    w->run_for(milliseconds{300});
    auto const& o = w->callers[id];
    REQUIRE(o.answer);
    CHECK(is_truthful(*o.answer, "x"));
    REQUIRE(o.answer->covered.missing.size() == 1);
    CHECK(o.answer->covered.missing[0].shard == shard_id{2});
}

TEST_CASE("a frozen replica of each shard does not reduce coverage")
{
    auto w = standard_world(4);
    for (auto& [address, l] : w->leafs)
        l.frozen = l.info.zone == "brugge-zuid";
    auto const complete = query_round_robin(*w, "warm", 30, milliseconds{250});
    w->run_for(milliseconds{300});
    CHECK(complete == 30);
}

TEST_CASE("answers with a wrong attempt id or shard reach no caller")
{
    auto w = standard_world(5);
    w->leafs.at("voorraad-1-0").mismatched_id = true;
    w->leafs.at("voorraad-4-1").wrong_shard = true;
    for (auto n = 0; n < 30; ++n)
    {
        auto const text = "t" + std::to_string(n);
        auto const id = w->query(n % 3, "voorraad", text);
        w->run_for(milliseconds{250});
        auto const& o = w->callers[id];
        REQUIRE(o.answer);
        CHECK(is_truthful(*o.answer, text));
        CHECK(o.answer->covered.missing.empty());
    }
}

TEST_CASE("unresponsive connections are given up, their target keeps serving")
{
    auto w = standard_world(6);
    for (auto& [address, l] : w->leafs)
        l.silent_connections = l.open;
    auto complete = 0;
    for (auto n = 0; n < 60; ++n)
    {
        auto const id =
            w->query(n % 3, "voorraad", "warm-" + std::to_string(n % 40));
        w->run_for(milliseconds{100});
        complete += n >= 30 && is_complete(w->callers[id]) ? 1 : 0;
    }
    CHECK(complete == 30);
    CHECK(w->instances[0]->live_node->stats().unresponsive_connections > 0);
    for (auto const& [address, l] : w->leafs)
        CHECK(l.crashes == 0);
}

TEST_CASE("an owner killed or paused mid-query is replaced before the deadline")
{
    for (auto const paused : {false, true})
    {
        CAPTURE(paused);
        auto w = standard_world(9);
        auto ids = std::vector<std::uint64_t>{};
        for (auto n = 0; n < 20; ++n)
            ids.push_back(
                w->query(n % 2, "voorraad", "warm-" + std::to_string(n)));
        w->run_after(us{800},
            [&]
            {
                if (paused)
                    w->pause(2);
                else
                    w->kill(2);
            });
        w->run_for(milliseconds{300});
        for (auto const id : ids)
            CHECK(is_complete(w->callers[id]));
    }
}

TEST_CASE("the load of a cold target stays in its budget over all instances")
{
    auto w = standard_world(10, 2);
    w->crash("voorraad-0-0", us{50'000});
    auto& l = w->leafs.at("voorraad-0-0");
    auto worst = 0u;
    auto cold_until = std::optional<time_point>{};
    for (auto n = 0; n < 300; ++n)
    {
        for (auto i = 0; i < 3; ++i)
            w->query(i, "voorraad", "warm-" + std::to_string(n % 40));
        if (!cold_until && l.received > 0 && !l.down)
            cold_until = w->now + milliseconds{100};
        l.max_in_flight = 0;
        w->run_for(milliseconds{1});
        // The ramp allows at most half the limit in the first half of the
        // warm-up.
        if (!l.down && cold_until && w->now < *cold_until)
            worst = std::max(worst, l.max_in_flight);
    }
    CHECK(worst >= 1);
    CHECK(worst <= 2);
}

TEST_CASE("a restarted instance neither warms targets again nor overloads them")
{
    auto w = standard_world(11, 2);
    w->kill(0);
    w->run_for(milliseconds{20});
    w->start(0);
    w->run_for(milliseconds{300});
    auto const complete = query_round_robin(*w, "warm", 30, milliseconds{30});
    CHECK(complete == 30);
}

TEST_CASE("a draining target and a zone taken out get no new requests")
{
    auto w = standard_world(12);
    w->leafs.at("voorraad-3-0").draining = true;
    w->config.zones_out = {"brugge-zuid"};
    w->publish();
    auto const send_queries = [&]
    {
        query_round_robin(*w, "warm", 40, milliseconds{25});
    };
    send_queries();
    w->run_for(seconds{2});
    auto const from = w->request_log.size();
    send_queries();
    CHECK(w->request_log.size() > from);
    for (auto i = from; i < w->request_log.size(); ++i)
    {
        auto const& l = w->leafs.at(w->request_log[i].second);
        CHECK(l.info.zone != "brugge-zuid");
        CHECK_FALSE(l.draining);
    }
}

TEST_CASE("a graceful stop aborts no request")
{
    auto w = standard_world(13);
    auto ids = std::vector<std::uint64_t>{};
    for (auto n = 0; n < 120; ++n)
    {
        if (n % 40 == 20)
            w->stop(n / 40);
        // The load balancer sends to a stopping instance until it exits.
        for (std::size_t i = 0; i < 3; ++i)
            if (!w->instances[i]->exited)
                ids.push_back(
                    w->query(i, "voorraad", "warm-" + std::to_string(n % 40)));
        w->run_for(milliseconds{10});
        if (n % 40 == 39)
        {
            w->run_for(seconds{2});
            CHECK(w->instances[n / 40]->exited);
            w->kill(n / 40);
            w->start(n / 40);
            w->run_for(seconds{1});
        }
    }
    w->run_for(milliseconds{500});
    auto complete = std::size_t{0};
    for (auto const id : ids)
        complete += is_complete(w->callers[id]) ? 1 : 0;
    CHECK(complete == ids.size());
}

TEST_CASE("a configuration never reverts and reaches all instances by gossip")
{
    auto w = standard_world(14);
    auto const old = w->config;
    w->config.max_queries = 7;
    ++w->config.version.revision;
    // Only one instance receives it from the platform.
    auto newest = w->config;
    w->run_after(us{0}, [&] {});
    w->read_config(0, newest);
    w->run_for(seconds{2});
    for (auto const& n : w->instances)
        CHECK(n->live_node->configs().at(0).version == newest.version);
    for (std::size_t i = 0; i < 3; ++i)
        w->read_config(i, old);
    w->run_for(seconds{1});
    for (auto const& n : w->instances)
        CHECK(n->live_node->configs().at(0) == newest);
    // A new instance gets it from its peers while the platform sends none.
    w->kill(2);
    w->config = {};
    w->start(2);
    w->run_for(seconds{2});
    CHECK(w->instances[2]->live_node->configs().at(0) == newest);
}

TEST_CASE(
    "admission refuses only the excess and frees the slots of ended queries")
{
    auto w = standard_world(15);
    w->config.max_queries = 4;
    w->publish();
    w->run_for(milliseconds{300});
    auto ids = std::vector<std::uint64_t>{};
    for (auto n = 0; n < 10; ++n)
        ids.push_back(w->query(0, "voorraad", "warm-" + std::to_string(n)));
    w->run_for(milliseconds{300});
    auto refused = 0;
    for (auto const id : ids)
        refused += w->callers[id].refused ? 1 : 0;
    CHECK(refused == 6);
    auto const id = w->query(0, "voorraad", "warm-1");
    w->run_for(milliseconds{300});
    CHECK(is_complete(w->callers[id]));
}

TEST_CASE("shard views received before the configuration are requested again")
{
    auto w = standard_world(16);
    // The instance receives its peers' views before it has a configuration and
    // cannot use them yet.
    w->kill(1);
    auto const config = w->config;
    w->config = {};
    w->start(1);
    w->run_for(milliseconds{40});
    w->config = config;
    w->read_config(1, config);
    w->run_for(seconds{1});
    CHECK(w->instances[1]->live_node->gauges().ready);
    auto const id = w->query(1, "voorraad", "warm-1");
    w->run_for(milliseconds{300});
    CHECK(is_complete(w->callers[id]));
}

TEST_CASE("instances missing from the list discover each other")
{
    auto w = std::make_unique<world>(17);
    w->config.name = "regie";
    w->add_service("voorraad", 2, {"gent-dok", "brugge-zuid"});
    w->list_only_first = true;
    for (auto i = 0; i < 12; ++i)
        w->add_instance("entry-" + std::to_string(i), "gent-dok");
    w->publish();
    w->run_for(seconds{8});
    for (auto const& n : w->instances)
        CHECK(n->live_node->gauges().peers_alive == 11);
}

TEST_CASE("an answer that arrives while its shard waits for a retry counts and "
          "completes the query at once")
{
    auto w = standard_world(18, 3);
    // The other instances pause from 0.5 ms to 45 ms: the entry suspects these
    // owners and schedules retries, and then their answers arrive after all.
    auto late = 0;
    for (auto n = 0; n < 20; ++n)
    {
        auto const i = static_cast<std::size_t>(n) % 3;
        auto const id = w->query(
            i, "voorraad", "warm-" + std::to_string(n), milliseconds{1'000});
        w->run_after(us{500}, [&w, i] { w->pause((i + 1) % 3); });
        w->run_after(us{500}, [&w, i] { w->pause((i + 2) % 3); });
        w->run_after(milliseconds{45}, [&w, i] { w->resume((i + 1) % 3); });
        w->run_after(milliseconds{45}, [&w, i] { w->resume((i + 2) % 3); });
        w->run_for(milliseconds{400});
        late += is_complete(w->callers[id]) ? 0 : 1;
        w->run_for(milliseconds{800});
        CHECK(is_complete(w->callers[id]));
    }
    CHECK(late == 0);
}
