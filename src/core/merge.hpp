/// Choice of an index version for a query, and merge of shard answers.
#ifndef KNAPWEEDSTREAM_CORE_MERGE_HPP
#define KNAPWEEDSTREAM_CORE_MERGE_HPP

#include <knapweedstream/query.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace knapweedstream
{

/// Chooses the index version that most shards serve; of equals, the newest.
///
/// @param[in] served Versions that each shard serves, one entry per shard.
/// @returns The version; 0 if no shard serves any.
auto choose_version(std::span<std::vector<std::uint64_t> const> served)
    -> std::uint64_t;

/// Outcome of one shard of a query.
struct shard_result
{
    bool answered = false;
    shard_failure reason = shard_failure::deadline; ///< Valid if not answered.

    auto operator<=>(shard_result const&) const = default;
};

/// Merges the answers of the shards at one snapshot.
///
/// Skips answers from another snapshot or an unknown shard and repeated answers
/// of a shard; coverage counts only what was merged.
///
/// @param[in] at Pinned snapshot.
/// @param[in] results Outcome of each shard of the pinned shard map; gives the
///     reasons for missing shards.
/// @param[in] answers Answers received.
/// @param[in] max_rows Rows kept: highest score first, equal scores by key.
auto merge(snapshot at, std::span<shard_result const> results,
    std::span<shard_rows const> answers, std::uint32_t max_rows)
    -> query_answer;

} // namespace knapweedstream

#endif
