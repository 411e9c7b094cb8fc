/// Compares core functions with naive implementations, and checks properties of
/// the owner selection.
#include "core/merge.hpp"
#include "core/rendezvous.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace knapweedstream;

namespace
{

/// Takes the first answer of each shard at the snapshot, then sorts all rows.
auto naive_merge(snapshot at, std::uint32_t shards,
    std::vector<shard_rows> const& answers, std::uint32_t max_rows)
    -> query_answer
{
    auto first = std::map<std::uint32_t, shard_rows>{};
    for (auto const& it : answers)
        if (it.at == at && it.shard.value < shards)
            first.emplace(it.shard.value, it);
    auto r = query_answer{};
    r.at = at;
    r.covered.total = shards;
    r.covered.answered = static_cast<std::uint32_t>(first.size());
    for (auto const& [i, it] : first)
        for (auto const& one : it.rows)
            r.rows.push_back(one);
    for (std::uint32_t i = 0; i < shards; ++i)
        if (!first.contains(i))
            r.covered.missing.push_back({shard_id{i}});
    std::sort(r.rows.begin(), r.rows.end(),
        [](row const& a, row const& b) {
            return std::pair{-a.score, a.key} < std::pair{-b.score, b.key};
        });
    if (r.rows.size() > max_rows)
        r.rows.resize(max_rows);
    return r;
}

auto arbitrary_answer(std::uint32_t shards) -> rc::Gen<shard_rows>
{
    return rc::gen::apply(
        [](std::uint32_t shard, std::uint32_t epoch, std::uint64_t version,
            std::vector<int> const& scores)
        {
            auto r = shard_rows{{shard}, {epoch, version}, {}};
            for (std::size_t i = 0; i < scores.size(); ++i)
                r.rows.push_back({static_cast<double>(scores[i] % 5),
                    std::to_string(shard) + "-" + std::to_string(i)});
            return r;
        },
        rc::gen::inRange(0u, shards + 1), rc::gen::inRange(1u, 3u),
        rc::gen::inRange<std::uint64_t>(1, 3),
        rc::gen::arbitrary<std::vector<int>>());
}

} // namespace

TEST_CASE("merge equals the naive merge in rows, snapshot and coverage")
{
    CHECK(rc::check("merge",
        []
        {
            auto const shards = *rc::gen::inRange(1u, 8u);
            auto const answers = *rc::gen::container<std::vector<shard_rows>>(
                arbitrary_answer(shards));
            auto const max_rows = *rc::gen::inRange(1u, 20u);
            auto const at = snapshot{1, 1};
            auto const slots = std::vector<shard_result>(shards);
            auto const merged = merge(at, slots, answers, max_rows);
            RC_ASSERT(merged == naive_merge(at, shards, answers, max_rows));
        }));
}

TEST_CASE(
    "the chosen version is served by the most shards, the newest on a tie")
{
    CHECK(rc::check("choose_version",
        []
        {
            using versions = std::vector<std::uint64_t>;
            auto const served = *rc::gen::container<std::vector<versions>>(
                rc::gen::container<versions>(
                    rc::gen::inRange<std::uint64_t>(1, 6)));
            auto const count = [&](std::uint64_t v)
            {
                return std::count_if(served.begin(), served.end(),
                    [&](versions const& it)
                    { return std::find(it.begin(), it.end(), v) != it.end(); });
            };
            auto best = std::uint64_t{0};
            for (std::uint64_t v = 1; v < 6; ++v)
                if (count(v) > 0 && (best == 0 || count(v) >= count(best)))
                    best = v;
            RC_ASSERT(choose_version(served) == best);
        }));
}

TEST_CASE("owners do not depend on the order of nodes, are spread over zones, "
          "and a removed node moves only its own keys")
{
    CHECK(rc::check("rendezvous",
        []
        {
            auto nodes = std::vector<rendezvous_node>{};
            for (std::uint64_t i = 1; i <= 9; ++i)
                nodes.push_back({{i}, {i % 3}});
            auto const key = *rc::gen::arbitrary<std::uint64_t>();
            auto const owners = rendezvous(key, nodes, 3);
            auto reversed = nodes;
            std::reverse(reversed.begin(), reversed.end());
            RC_ASSERT(rendezvous(key, reversed, 3) == owners);
            auto zones = std::set<std::uint64_t>{};
            for (auto const it : owners)
                zones.insert(it.value % 3);
            RC_ASSERT(zones.size() == 3u);
            auto const removed = nodes[*rc::gen::inRange<std::size_t>(0, 9)];
            std::erase(nodes, removed);
            auto const after = rendezvous(key, nodes, 3);
            for (auto const it : owners)
                if (it != removed.instance)
                    RC_ASSERT(std::find(after.begin(), after.end(), it) !=
                              after.end());
        }));
}
