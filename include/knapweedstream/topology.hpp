/// What templates declare: customers, services, shards, targets, instances.
#ifndef KNAPWEEDSTREAM_TOPOLOGY_HPP
#define KNAPWEEDSTREAM_TOPOLOGY_HPP

#include <knapweedstream/ids.hpp>
#include <knapweedstream/objectives.hpp>
#include <knapweedstream/rollout.hpp>
#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedstream
{

/// A consistent state of all shards of a service.
struct snapshot
{
    std::uint32_t epoch = 0;         ///< Version of the shard map.
    std::uint64_t index_version = 0; ///< Version of the index; 0 is none.

    auto operator<=>(snapshot const&) const = default;
};

/// One leaf: a server that holds one replica of one shard.
struct target_info
{
    std::string name;    ///< Unique name.
    std::string address; ///< IP number and port.
    std::string zone;    ///< Availability zone.
    shard_id shard;      ///< Shard it serves.
    std::string version; ///< Back-end version; empty if not told.

    auto operator<=>(target_info const&) const = default;
};

/// Limits that every target of a service states.
struct target_limits
{
    std::uint32_t slots = 2;            ///< Requests it runs at once.
    std::uint32_t connections = 30;     ///< Connections it accepts.
    std::uint32_t cold_concurrency = 1; ///< In flight while cold.
    milliseconds warmup{2'000};         ///< From cold to warm.

    auto operator<=>(target_limits const&) const = default;
};

/// A service: a sharded index, its targets and its limits.
struct service_info
{
    std::string name;                 ///< Unique within the customer.
    std::uint32_t epoch = 1;          ///< Version of the shard map.
    std::uint32_t shards = 1;         ///< Number of shards.
    milliseconds deadline{200};       ///< If the caller gives none.
    target_limits limits;             ///< Of each target.
    rollout_policy rollout;           ///< If a version is being replaced.
    std::vector<target_info> targets; ///< All replicas of all shards.

    auto operator<=>(service_info const&) const = default;
};

/// A service of a customer, the value in force at one version.
struct customer_config
{
    std::string name;                   ///< Customer.
    std::uint64_t version = 0;          ///< Version of the object.
    std::uint32_t max_queries = 256;    ///< Queries admitted at once.
    service_objectives objectives;      ///< What the customer is promised.
    std::vector<std::string> zones_out; ///< Zones that take no new work.
    std::vector<service_info> services; ///< Services queried.

    auto operator<=>(customer_config const&) const = default;
};

/// One instance of the query tier.
struct instance_info
{
    std::string name;         ///< Unique name.
    std::string peer_address; ///< IP number and port for peers.
    std::string zone;         ///< Availability zone.
    bool leaving = false;     ///< Takes no new work.

    auto operator<=>(instance_info const&) const = default;
};

} // namespace knapweedstream

#endif
