/// Named limits of a node, with units; settings may give others.
#ifndef KNAPWEEDSTREAM_LIMITS_HPP
#define KNAPWEEDSTREAM_LIMITS_HPP

#include <knapweedstream/time.hpp>

#include <cstdint>

namespace knapweedstream
{

/// Limits that hold for one instance.
struct node_limits
{
    std::uint32_t max_body_bytes = 65'536;    ///< Largest caller body.
    std::uint32_t max_queries = 4'096;        ///< Queries open at once.
    std::uint32_t max_rows = 1'000;           ///< Rows in one answer.
    milliseconds min_deadline{5};             ///< Shortest accepted deadline.
    milliseconds max_deadline{30'000};        ///< Longest accepted deadline.
    milliseconds answer_margin{2};            ///< Kept for the way back.
    milliseconds owner_check{10};             ///< Least wait for an owner.
    milliseconds heartbeat{250};              ///< Between heartbeat rounds.
    std::uint32_t heartbeat_fanout = 8;       ///< Peers probed per round.
    milliseconds peer_timeout{1'500};         ///< Silence before suspicion.
    milliseconds connect_timeout{500};        ///< Opening a connection.
    milliseconds connect_backoff{100};        ///< After a failed connect.
    milliseconds cancel_grace{100};           ///< Until a cancelled
                                              ///< connection is condemned.
    milliseconds ejection{2'000};             ///< First ejection time.
    std::uint32_t ejection_failures = 5;      ///< Failures in a row.
    std::uint32_t max_owners = 8;             ///< Owners of one shard.
    std::uint32_t queue_depth_per_slot = 2;   ///< In flight per leaf slot.
    double hedge_quantile = 0.95;             ///< Hedge after this quantile.
    double retry_budget_ratio = 0.05;         ///< Extra per primary request.
    double retry_budget_burst = 50;           ///< Tokens kept at most.
    std::uint32_t max_attempts_per_shard = 4; ///< Attempts of one shard.
    std::uint32_t max_runs = 2;               ///< Runs of one query.
    milliseconds fingerprint_ban{60'000};     ///< Refusal of a deadly query.
    milliseconds claim_retry{50};             ///< Between claim attempts.
    milliseconds claim_margin{100};           ///< Before the deadline, given
                                              ///< up if not stored by then.
    seconds claim_expiry{86'400};             ///< Age at which claims go.
    std::uint32_t claims_per_write = 256;     ///< Claims in one commit.
    std::uint32_t max_claims_per_bucket = 4'000; ///< Below 1 MB per object.
    milliseconds drain_quiet{1'000};             ///< Idle time before exit.
    milliseconds config_max_lag{12'000};         ///< Target for "in force".

    auto operator<=>(node_limits const&) const = default;
};

} // namespace knapweedstream

#endif
