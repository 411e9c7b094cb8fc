/// Instances, and the customers, services, shards and targets that customer
/// templates (INI files) declare.
#ifndef KNAPWEEDSTREAM_TOPOLOGY_HPP
#define KNAPWEEDSTREAM_TOPOLOGY_HPP

#include <knapweedstream/ids.hpp>
#include <knapweedstream/objectives.hpp>
#include <knapweedstream/rollout.hpp>
#include <knapweedstream/store_version.hpp>
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
    std::uint64_t index_version = 0; ///< Version of the index; 0 means none.

    auto operator<=>(snapshot const&) const = default;
};

/// A target (leaf): a server that holds one replica of one shard.
struct target_info
{
    std::string name;    ///< Unique name.
    std::string address; ///< IP address and port.
    std::string zone;    ///< Availability zone.
    shard_id shard;      ///< Shard that it serves.
    std::string version; ///< Back-end version; empty if unknown.

    auto operator<=>(target_info const&) const = default;
};

/// Limits that apply to each target of a service.
struct target_limits
{
    std::uint32_t slots = 2;            ///< Requests run concurrently.
    std::uint32_t connections = 30;     ///< Connections accepted.
    std::uint32_t cold_concurrency = 1; ///< Requests in flight while cold.
    milliseconds warmup{2'000};         ///< Time from cold to warm.

    auto operator<=>(target_limits const&) const = default;
};

/// A service: a sharded index with its targets and limits.
struct service_info
{
    std::string name;           ///< Unique within the customer.
    std::uint32_t epoch = 1;    ///< Version of the shard map.
    std::uint32_t shards = 1;   ///< Number of shards.
    milliseconds deadline{200}; ///< Used if the caller sets none.
    target_limits limits;       ///< Limits of each target.
    rollout_policy rollout;     ///< Set while a back-end version is replaced.
    std::vector<target_info> targets; ///< All replicas of all shards.

    auto operator<=>(service_info const&) const = default;
};

/// A version of a customer's configuration.
struct customer_config
{
    std::string name;                   ///< Name of the customer.
    store_version version;              ///< Of the platform's object.
    std::uint32_t max_queries = 256;    ///< Open queries and bookings.
    service_objectives objectives;      ///< Service-level objectives.
    std::vector<std::string> zones_out; ///< Zones taken out of service.
    std::vector<service_info> services; ///< Services of the customer.

    auto operator<=>(customer_config const&) const = default;
};

/// An instance of the query tier.
struct instance_info
{
    std::string name;         ///< Unique name.
    std::string peer_address; ///< IP address and port for peers.
    std::string zone;         ///< Availability zone.
    bool leaving = false;     ///< Stopping; takes no new work.

    auto operator<=>(instance_info const&) const = default;
};

} // namespace knapweedstream

#endif
