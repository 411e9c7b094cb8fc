/// Limits of an instance, with defaults; most can be changed by settings.
#ifndef KNAPWEEDSTREAM_LIMITS_HPP
#define KNAPWEEDSTREAM_LIMITS_HPP

#include <knapweedstream/time.hpp>

#include <cstdint>

namespace knapweedstream
{

/// Limits that apply to a single instance.
struct node_limits
{
    std::uint32_t max_body_bytes = 65'536; ///< Largest request body.
    std::uint32_t max_queries = 4'096;     ///< Open queries and bookings.
    std::uint32_t max_rows = 1'000;        ///< Rows per answer.
    milliseconds min_deadline{5};          ///< Shortest deadline accepted.
    milliseconds max_deadline{30'000};     ///< Longest deadline accepted.
    /// Subtracted from the time limit of an owner or executor, to leave time
    /// for returning the answer to the caller.
    milliseconds answer_margin{2};
    /// Shortest silence of an owner after which it is probed or suspected; also
    /// the pause before all owners of a shard are asked again.
    milliseconds owner_check{10};
    milliseconds heartbeat{250};        ///< Interval of heartbeat rounds.
    std::uint32_t heartbeat_fanout = 8; ///< Peers probed per round.
    milliseconds peer_timeout{1'500};   ///< Silence before suspicion.
    milliseconds connect_timeout{500};  ///< Time to open a connection.
    milliseconds connect_backoff{100};  ///< Pause after a failed connect.
    /// Wait for the reply to a cancelled request until its connection is
    /// closed.
    milliseconds cancel_grace{100};
    /// Duration of the first ejection; doubles with each further one, up to 32
    /// times the first, until the target succeeds again.
    milliseconds ejection{2'000};
    std::uint32_t ejection_failures = 5; ///< Consecutive failures to eject.
    std::uint32_t max_owners = 8;        ///< Owners per shard.
    /// Requests that all owners together may have in flight per target slot.
    std::uint32_t queue_depth_per_slot = 2;
    double hedge_quantile = 0.95;     ///< Latency quantile to hedge at.
    double retry_budget_ratio = 0.05; ///< Tokens added per primary request.
    double retry_budget_burst = 50;   ///< Maximum number of tokens.
    std::uint32_t max_attempts_per_shard = 4; ///< Attempts per shard.
    std::uint32_t max_runs = 2;               ///< Runs per query.
    /// Time for which a request that crashed targets is refused.
    milliseconds fingerprint_ban{60'000};
    milliseconds claim_retry{50}; ///< Pause after a failed claim access.
    /// A booking whose claim is not stored this long before its deadline is
    /// given up, so that the caller is told in time.
    milliseconds claim_margin{100};
    seconds claim_expiry{86'400};         ///< Age at which claims are removed.
    std::uint32_t claims_per_write = 256; ///< Claims changed in one write.
    std::uint32_t max_claims_per_bucket = 4'000; ///< Keeps objects below 1 MB.
    /// A stopping instance exits after this time without an open request.
    milliseconds drain_quiet{1'000};
    /// Time within which a new configuration should be applied; not enforced.
    milliseconds config_max_lag{12'000};

    auto operator<=>(node_limits const&) const = default;
};

} // namespace knapweedstream

#endif
