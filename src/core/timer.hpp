/// Timers of a node and the keys that they refer to.
#ifndef KNAPWEEDSTREAM_CORE_TIMER_HPP
#define KNAPWEEDSTREAM_CORE_TIMER_HPP

#include "port/message.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <variant>

namespace knapweedstream
{

/// Key of a sub-query at its owner. Run ids are unique only within the entry
/// instance that made them.
struct sub_key
{
    instance_id entry;
    run_id id;

    auto operator<=>(sub_key const&) const = default;
};

/// Key of one part (one shard) of a sub-query.
struct part_key
{
    sub_key sub;
    std::uint32_t index = 0; ///< Position in the sub-query's list of parts.

    auto operator<=>(part_key const&) const = default;
};

} // namespace knapweedstream

template <>
struct std::hash<knapweedstream::sub_key>
{
    auto operator()(knapweedstream::sub_key const& it) const noexcept
        -> std::size_t
    {
        return std::hash<knapweedstream::run_id>{}(it.id) * 31 +
               std::hash<std::uint64_t>{}(it.entry.value);
    }
};

namespace knapweedstream
{

// Timers are not cancelled: the handler of an obsolete timer does nothing.

/// Parts of a sub-query may need a hedge.
struct hedge_due
{
    sub_key sub;
    auto operator<=>(hedge_due const&) const = default;
};
/// The deadline of a sub-query at its owner has passed.
struct sub_due
{
    sub_key sub;
    auto operator<=>(sub_due const&) const = default;
};
/// The time limit has passed for a cancelled attempt to end, or for a booking
/// to end after its deadline.
struct cancel_due
{
    attempt_id attempt;
    auto operator<=>(cancel_due const&) const = default;
};
/// The time limit for opening a connection has passed.
struct connect_timeout_due
{
    connection_id connection;
    auto operator<=>(connect_timeout_due const&) const = default;
};
/// The pause after a failed connect is over.
struct reopen_due
{
    target_id target;
    auto operator<=>(reopen_due const&) const = default;
};
/// An owner that was asked for shards has to be checked for liveness.
struct owner_check_due
{
    run_id run;
    instance_id owner;
    auto operator<=>(owner_check_due const&) const = default;
};
/// A peer that was probed because another instance reported it as silent has to
/// be checked for an answer.
struct peer_check_due
{
    instance_id peer;
    auto operator<=>(peer_check_due const&) const = default;
};
/// The owners of a shard may be asked again, after none could take it.
struct shard_retry_due
{
    run_id run;
    shard_id shard;
    auto operator<=>(shard_retry_due const&) const = default;
};
/// The canary of a run has not answered in time.
struct canary_due
{
    run_id run;
    auto operator<=>(canary_due const&) const = default;
};
/// The deadline of a query has passed.
struct query_due
{
    query_id query;
    auto operator<=>(query_due const&) const = default;
};
/// The executor of a booking has to be checked, or its deadline has passed.
struct booking_check_due
{
    query_id id;
    auto operator<=>(booking_check_due const&) const = default;
};
/// A time limit of a booking at its executor has passed.
struct exec_due
{
    claim_token token;
    auto operator<=>(exec_due const&) const = default;
};
/// A failed read or write of claims may be retried.
struct bucket_retry_due
{
    claim_bucket bucket;
    auto operator<=>(bucket_retry_due const&) const = default;
};
/// A configuration of a later era of the platform is applied if it has not been
/// replaced.
struct config_settle_due
{
    customer_id customer;
    store_version version;
    auto operator<=>(config_settle_due const&) const = default;
};
/// The next round of heartbeats is due.
struct heartbeat_due
{
    auto operator<=>(heartbeat_due const&) const = default;
};
/// The leaving node has to check whether it may exit.
struct drain_due
{
    auto operator<=>(drain_due const&) const = default;
};

/// What a timer is for.
using timer = std::variant<peer_check_due, shard_retry_due, hedge_due, sub_due,
    cancel_due, connect_timeout_due, reopen_due, owner_check_due, canary_due,
    query_due, booking_check_due, exec_due, bucket_retry_due, heartbeat_due,
    drain_due, config_settle_due>;

/// A timer in the queue. Timers due at the same time run in the order in which
/// they were armed.
struct timer_entry
{
    time_point when;
    std::uint64_t order = 0;
    timer what;

    auto operator>(timer_entry const& it) const -> bool
    {
        return when != it.when ? when > it.when : order > it.order;
    }
};

} // namespace knapweedstream

#endif
