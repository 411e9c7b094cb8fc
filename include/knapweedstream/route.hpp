/// Routing configuration: maps requests to services by host and path.
#ifndef KNAPWEEDSTREAM_ROUTE_HPP
#define KNAPWEEDSTREAM_ROUTE_HPP

#include <knapweedstream/ids.hpp>
#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// Whether requests may be retried and hedged.
enum class delivery_semantics : std::uint8_t
{
    idempotent,   ///< May run more than once; retried and hedged.
    at_most_once, ///< Not sent again once it may have run.
};

/// Sends all requests to one service.
struct to_service
{
    std::string service;
    auto operator<=>(to_service const&) const = default;
};

/// A service and its weight in a traffic split.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 0;
    auto operator<=>(weighted_service const&) const = default;
};

/// Splits requests among services by weight.
struct to_split
{
    std::vector<weighted_service> parts;
    auto operator<=>(to_split const&) const = default;
};

/// Sends each request to one target of every shard and merges the responses.
struct to_shards
{
    std::vector<std::string> shards; ///< One service name per shard.
    std::uint32_t top_k = 1;         ///< Records returned, greatest first.
    double min_coverage = 1; ///< Smallest fraction of shards for a success.
    auto operator<=>(to_shards const&) const = default;
};

/// Where a route sends its requests.
using destination = std::variant<to_service, to_split, to_shards>;

/// A rule that matches requests by host and path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string path_start; ///< Begins and ends with a slash.
    destination to;
    delivery_semantics delivery = delivery_semantics::at_most_once;
    milliseconds timeout{0};           ///< Until the caller is answered.
    milliseconds latency_objective{0}; ///< Answers that take longer are late.
    /// Attempts per shard that may run the request; those known not to have run
    /// it are not counted.
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 0;       ///< Queue priority; 0 is the most urgent.
    std::vector<std::string> regions; ///< Allowed regions; empty: all.

    auto operator<=>(route const&) const = default;
};

/// Load limits and health path of a service's targets.
struct service_policy
{
    std::string name;
    std::string health_path;
    /// Connections that a target accepts from all instances; 0: unknown.
    std::uint32_t max_connections = 0;
    milliseconds warmup{0};         ///< Time for which a new target is cold.
    double cold_requests_per_s = 0; ///< Limit per cold target; 0: none.

    auto operator<=>(service_policy const&) const = default;
};

/// Limits on callers' requests and connections; 0 means no limit.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t max_body_bytes = 1'048'576;
    milliseconds header_timeout{5'000}; ///< To receive a complete header.
    milliseconds idle_timeout{15'000};  ///< Between requests on a connection.

    auto operator<=>(caller_limits const&) const = default;
};

/// A version of the routing configuration.
struct routing_config
{
    std::uint64_t version = 0; ///< Set by the operator; must increase.
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;

    auto operator<=>(routing_config const&) const = default;
};

/// A configuration shared with the requests in flight that were routed by it.
using routing_config_ptr = std::shared_ptr<routing_config const>;

} // namespace knapweedstream

#endif
