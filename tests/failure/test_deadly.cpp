/// Guarantees for queries that crash the targets which run them.
#include "../fakes.hpp"

#include <doctest/doctest.h>

using namespace fakes;

TEST_CASE("a query that crashes targets crashes at most two, also when retried")
{
    auto w = standard_world(7);
    for (auto& [address, l] : w->leafs)
        l.crash_on = "deadly";
    auto refused = 0;
    for (auto n = 0; n < 9; ++n)
    {
        auto const id =
            w->query(n % 3, "voorraad", "deadly", milliseconds{500});
        w->run_for(milliseconds{600});
        auto const& o = w->callers[id];
        CHECK(o.count == 1);
        refused += o.refused ? 1 : 0;
    }
    auto crashes = 0u;
    for (auto const& [address, l] : w->leafs)
        crashes += l.crashes;
    CHECK(crashes <= 2);
    CHECK(refused >= 7);
}

TEST_CASE("queries in flight together with a deadly one are not refused")
{
    auto w = standard_world(8);
    for (auto& [address, l] : w->leafs)
        l.crash_on = "deadly";
    auto innocent = std::vector<std::uint64_t>{};
    for (auto n = 0; n < 12; ++n)
    {
        w->query(n % 3, "voorraad", "deadly", milliseconds{300});
        for (auto k = 0; k < 3; ++k)
            innocent.push_back(w->query(k, "voorraad",
                "innocent-" + std::to_string(n * 3 + k), milliseconds{300}));
        w->run_for(milliseconds{120});
    }
    w->run_for(milliseconds{600});
    for (auto const id : innocent)
        CHECK_FALSE(w->callers[id].refused);
    CHECK(query_round_robin(*w, "innocent", 36, milliseconds{250}) == 36);
}

TEST_CASE("a crash that two owners notice at different times counts once")
{
    for (auto seed = 20u; seed < 26; ++seed)
    {
        CAPTURE(seed);
        auto w = standard_world(seed);
        w->crash_notice_stagger = us{15'000};
        for (auto& [address, l] : w->leafs)
            l.latency = us{10'000};
        auto queries = std::vector<std::uint64_t>{};
        for (auto n = 0; n < 12; ++n)
        {
            auto const text = "innocent-" + std::to_string(n);
            queries.push_back(w->query(n % 3, "voorraad", text));
            w->run_for(milliseconds{300});
            queries.push_back(w->query(n % 3, "voorraad", text));
            w->run_for(milliseconds{4});
            for (auto& [address, l] : w->leafs)
                if (l.in_flight > 0)
                {
                    w->crash(address, us{200'000});
                    break;
                }
            w->run_for(milliseconds{500});
            queries.push_back(w->query(n % 3, "voorraad", text));
            w->run_for(milliseconds{500});
        }
        for (auto const id : queries)
            CHECK_FALSE(w->callers[id].refused);
    }
}

TEST_CASE("a query that succeeds between crashes is not refused for them")
{
    for (auto seed = 30u; seed < 40; ++seed)
    {
        CAPTURE(seed);
        auto w = standard_world(seed, 1);
        for (auto& [address, l] : w->leafs)
            l.latency = us{10'000};
        auto queries = std::vector<std::uint64_t>{};
        auto const query_and_crash = [&](std::size_t by)
        {
            queries.push_back(w->query(by, "voorraad", "innocent"));
            w->run_for(milliseconds{4});
            for (auto& [address, l] : w->leafs)
                if (l.in_flight > 0)
                    return w->crash(address, us{150'000});
        };
        queries.push_back(w->query(0, "voorraad", "innocent"));
        w->run_for(milliseconds{300});
        for (auto n = 0u; n < 12; ++n)
        {
            query_and_crash(n % 3);
            w->run_for(milliseconds{60});
            query_and_crash(n % 3);
            w->run_for(milliseconds{600});
            for (auto k = 0u; k < 6; ++k)
            {
                queries.push_back(w->query(k % 3, "voorraad", "innocent"));
                w->run_for(milliseconds{300});
            }
        }
        for (auto const id : queries)
            CHECK_FALSE(w->callers[id].refused);
    }
}
