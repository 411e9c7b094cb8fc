/// Snapshot choice and merge of shard answers.
#ifndef KNAPWEEDSTREAM_CORE_MERGE_HPP
#define KNAPWEEDSTREAM_CORE_MERGE_HPP

#include <knapweedstream/query.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace knapweedstream
{

/// Chooses the index version that most shards serve, the newest of equals.
///
/// @param[in] served Versions that each shard serves, one entry a shard.
/// @returns The version; 0 if no shard serves any.
auto choose_version(std::span<std::vector<std::uint64_t> const> served)
    -> std::uint64_t;

/// What became of one shard of a query.
struct shard_result
{
    bool answered = false;
    shard_failure reason = shard_failure::deadline; ///< If not answered.

    auto operator<=>(shard_result const&) const = default;
};

/// Merges answers of one snapshot.
///
/// Answers of another snapshot, of unknown shards, and second answers of a
/// shard are left out; coverage counts only what was merged.
///
/// @param[in] at Pinned snapshot.
/// @param[in] slots State of each shard of the pinned map; gives the reasons
///     for missing shards.
/// @param[in] answers Answers that came.
/// @param[in] max_rows Rows kept, best first, ties by key.
auto merge(snapshot at, std::span<shard_result const> results,
    std::span<shard_rows const> answers, std::uint32_t max_rows)
    -> query_answer;

} // namespace knapweedstream

#endif
