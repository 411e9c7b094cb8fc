/// Queries and their answers.
#ifndef KNAPWEEDSTREAM_QUERY_HPP
#define KNAPWEEDSTREAM_QUERY_HPP

#include <knapweedstream/refusal.hpp>
#include <knapweedstream/topology.hpp>

#include <string>
#include <vector>

namespace knapweedstream
{

/// A query as received from a caller.
struct query_request
{
    std::string customer;
    std::string service;
    std::string text;             ///< Query text, forwarded to each leaf.
    milliseconds deadline{0};     ///< 0 selects the service's default.
    std::uint32_t max_rows = 100; ///< Maximum number of rows to return.

    auto operator<=>(query_request const&) const = default;
};

/// One result row.
struct row
{
    double score = 0; ///< Rows with a higher score come first.
    std::string key;  ///< Unique within the service.

    auto operator<=>(row const&) const = default;
};

/// Rows of one shard, read at one snapshot.
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
    no_replica, ///< No replica is available.
    snapshot,   ///< No replica serves the pinned snapshot.
    failed,     ///< All attempts at replicas failed.
    refused,    ///< The request is banned because targets died running it.
    not_owner,  ///< Asked a non-owner, or an owner whose request limit is 0.
    overload,   ///< The queue for its replicas is too long.
    suspected,  ///< A target died running it; only the primary owner may retry.
};

/// A shard that is missing from an answer.
struct missing_shard
{
    shard_id shard;
    shard_failure reason = shard_failure::deadline;

    auto operator<=>(missing_shard const&) const = default;
};

/// Which shards an answer covers.
struct coverage
{
    std::uint32_t total = 0;            ///< Shards in the pinned shard map.
    std::uint32_t answered = 0;         ///< Shards whose rows were merged.
    std::vector<missing_shard> missing; ///< The remaining shards.

    auto operator<=>(coverage const&) const = default;
};

/// Answer to a query, merged from the rows of its shards.
struct query_answer
{
    snapshot at; ///< Snapshot that all rows were read at.
    coverage covered;
    std::vector<row> rows; ///< Highest score first.
    duration elapsed{0};

    auto operator<=>(query_answer const&) const = default;
};

} // namespace knapweedstream

#endif
