/// Queries and their answers.
#ifndef KNAPWEEDSTREAM_QUERY_HPP
#define KNAPWEEDSTREAM_QUERY_HPP

#include <knapweedstream/refusal.hpp>
#include <knapweedstream/topology.hpp>

#include <string>
#include <vector>

namespace knapweedstream
{

/// A query as a caller sends it.
struct query_request
{
    std::string customer;
    std::string service;
    std::string text;             ///< Query text, passed on to each leaf.
    milliseconds deadline{0};     ///< 0 takes the service's default.
    std::uint32_t max_rows = 100; ///< Rows wanted.

    auto operator<=>(query_request const&) const = default;
};

/// One result row.
struct row
{
    double score = 0; ///< Higher is better.
    std::string key;  ///< Unique within the service.

    auto operator<=>(row const&) const = default;
};

/// The rows of one shard at one snapshot.
struct shard_rows
{
    shard_id shard;
    snapshot at;
    std::vector<row> rows;

    auto operator<=>(shard_rows const&) const = default;
};

/// Why a shard is missing from an answer.
enum class shard_failure : std::uint8_t
{
    deadline,   ///< No answer before the deadline.
    no_replica, ///< No replica could be asked.
    snapshot,   ///< No replica serves the pinned snapshot.
    failed,     ///< The replicas that were asked failed.
    refused,    ///< The request is refused as dangerous to targets.
    not_owner,  ///< The owner asked has no budget for the shard.
    overload,   ///< The queue of its replicas is too long.
    suspected,  ///< A target was lost; only the primary owner may retry.
};

/// A shard that is not part of an answer.
struct missing_shard
{
    shard_id shard;
    shard_failure reason = shard_failure::deadline;

    auto operator<=>(missing_shard const&) const = default;
};

/// Which shards an answer was merged from.
struct coverage
{
    std::uint32_t total = 0;            ///< Shards of the pinned map.
    std::uint32_t answered = 0;         ///< Shards inside the merged value.
    std::vector<missing_shard> missing; ///< All others.

    auto operator<=>(coverage const&) const = default;
};

/// A merged answer.
struct query_answer
{
    snapshot at; ///< The one snapshot of every row.
    coverage covered;
    std::vector<row> rows; ///< Best first.
    duration elapsed{0};

    auto operator<=>(query_answer const&) const = default;
};

} // namespace knapweedstream

#endif
