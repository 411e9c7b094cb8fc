#include "core/merge.hpp"

#include <algorithm>
#include <map>

namespace knapweedstream
{

namespace
{

/// Order of result rows: higher score first, equal scores by key.
auto ranks_before(row const& a, row const& b) -> bool
{
    return a.score != b.score ? a.score > b.score : a.key < b.key;
}

auto keep_best(std::vector<row>& rows, std::uint32_t n) -> void
{
    auto const keep = std::min<std::size_t>(n, rows.size());
    auto const mid = rows.begin() + static_cast<std::ptrdiff_t>(keep);
    std::partial_sort(rows.begin(), mid, rows.end(), ranks_before);
    rows.resize(keep);
}

} // namespace

auto choose_version(std::span<std::vector<std::uint64_t> const> served)
    -> std::uint64_t
{
    auto shards_of = std::map<std::uint64_t, std::size_t>{};
    for (auto const& versions : served)
    {
        auto seen = versions;
        std::sort(seen.begin(), seen.end());
        seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
        for (auto const v : seen)
            ++shards_of[v];
    }
    auto best = std::uint64_t{0};
    auto most = std::size_t{0};
    for (auto const& [v, n] : shards_of)
        if (v != 0 && n >= most)
        {
            best = v;
            most = n;
        }
    return best;
}

auto merge(snapshot at, std::span<shard_result const> results,
    std::span<shard_rows const> answers, std::uint32_t max_rows) -> query_answer
{
    auto merged = std::vector<bool>(results.size(), false);
    auto result = query_answer{};
    result.at = at;
    result.covered.total = static_cast<std::uint32_t>(results.size());
    for (auto const& it : answers)
    {
        auto const i = it.shard.value;
        if (it.at != at || i >= merged.size() || merged[i])
            continue;
        merged[i] = true;
        ++result.covered.answered;
        result.rows.insert(result.rows.end(), it.rows.begin(), it.rows.end());
    }
    for (std::uint32_t i = 0; i < merged.size(); ++i)
        if (!merged[i])
            result.covered.missing.push_back({shard_id{i}, results[i].reason});
    keep_best(result.rows, max_rows);
    return result;
}

} // namespace knapweedstream
