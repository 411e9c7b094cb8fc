/// Routes: where requests go, by host and path, as one version configures it.
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

/// What a failed request allows.
enum class delivery_semantics : std::uint8_t
{
    idempotent,   ///< May run more than once.
    at_most_once, ///< Never sent again once it may have run.
};

/// All requests go to one service.
struct to_service
{
    std::string service;
    auto operator<=>(to_service const&) const = default;
};

/// A service and its share of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 0;
    auto operator<=>(weighted_service const&) const = default;
};

/// Requests are split among services by weight.
struct to_split
{
    std::vector<weighted_service> parts;
    auto operator<=>(to_split const&) const = default;
};

/// Each request is asked of one target of every shard; the answers are merged.
struct to_shards
{
    std::vector<std::string> shards; ///< One service a shard.
    std::uint32_t top_k = 1;         ///< Records kept, greatest first.
    double min_coverage = 1;         ///< Least share of shards in a success.
    auto operator<=>(to_shards const&) const = default;
};

using destination = std::variant<to_service, to_split, to_shards>;

/// A rule that takes requests by host and path.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    destination to;
    delivery_semantics delivery = delivery_semantics::at_most_once;
    milliseconds timeout{0};           ///< Longest time to keep a caller.
    milliseconds latency_objective{0}; ///< An answer is late beyond it.
    std::uint32_t max_attempts = 1;    ///< Targets of a shard that may run it.
    std::uint32_t priority = 0;        ///< Rank; 0 is the most urgent.
    std::vector<std::string> regions;  ///< May be served there; empty: all.

    auto operator<=>(route const&) const = default;
};

/// What the targets of a service bear.
struct service_policy
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< A target's, from all; 0: unknown.
    milliseconds warmup{0};            ///< Time for which a new one is cold.
    double cold_requests_per_s = 0;    ///< Of a cold target; 0: no limit.

    auto operator<=>(service_policy const&) const = default;
};

/// What callers may send, and how slowly. 0: no limit.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t max_body_bytes = 1'048'576;
    milliseconds header_timeout{5'000}; ///< For the whole header.
    milliseconds idle_timeout{15'000};  ///< Between requests.

    auto operator<=>(caller_limits const&) const = default;
};

/// All routes and services of one configuration version.
struct routing_config
{
    std::uint64_t version = 0; ///< As stated by the operator; rises.
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;

    auto operator<=>(routing_config const&) const = default;
};

/// A configuration that requests in flight keep alive.
using routing_config_ptr = std::shared_ptr<routing_config const>;

} // namespace knapweedstream

#endif
