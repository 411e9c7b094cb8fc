/// What a node's timers are for.
#ifndef KNAPWEEDSTREAM_CORE_TIMER_HPP
#define KNAPWEEDSTREAM_CORE_TIMER_HPP

#include "port/message.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <variant>

namespace knapweedstream
{

/// Names a sub-query at its owner: run ids are unique within an entry.
struct sub_key
{
    instance_id entry;
    run_id id;

    auto operator<=>(sub_key const&) const = default;
};

/// Names a shard of a sub-query by its position.
struct part_key
{
    sub_key sub;
    std::uint32_t index = 0;

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

// What a timer is for. A timer that has become pointless does nothing.
struct hedge_due
{
    sub_key sub;
    auto operator<=>(hedge_due const&) const = default;
};
struct sub_due
{
    sub_key sub;
    auto operator<=>(sub_due const&) const = default;
};
struct cancel_due
{
    attempt_id attempt;
    auto operator<=>(cancel_due const&) const = default;
};
struct open_due
{
    connection_id connection;
    auto operator<=>(open_due const&) const = default;
};
struct reopen_due
{
    target_id target;
    auto operator<=>(reopen_due const&) const = default;
};
struct owner_check_due
{
    run_id run;
    instance_id owner;
    auto operator<=>(owner_check_due const&) const = default;
};
struct peer_due
{
    instance_id peer;
    auto operator<=>(peer_due const&) const = default;
};
struct shard_retry_due
{
    run_id run;
    shard_id shard;
    auto operator<=>(shard_retry_due const&) const = default;
};
struct canary_due
{
    run_id run;
    auto operator<=>(canary_due const&) const = default;
};
struct query_due
{
    query_id query;
    auto operator<=>(query_due const&) const = default;
};
struct booking_check_due
{
    query_id id;
    auto operator<=>(booking_check_due const&) const = default;
};
struct exec_due
{
    claim_token token;
    auto operator<=>(exec_due const&) const = default;
};
struct bucket_retry_due
{
    claim_bucket bucket;
    auto operator<=>(bucket_retry_due const&) const = default;
};
struct heartbeat_due
{
    auto operator<=>(heartbeat_due const&) const = default;
};
struct drain_due
{
    auto operator<=>(drain_due const&) const = default;
};

using timer = std::variant<peer_due, shard_retry_due, hedge_due, sub_due,
    cancel_due, open_due, reopen_due, owner_check_due, canary_due, query_due,
    booking_check_due, exec_due, bucket_retry_due, heartbeat_due, drain_due>;

/// A timer with its time; `order` keeps equal times in arming order.
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
