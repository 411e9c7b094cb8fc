/// Lookup of routes by host and path, the services of a route, and the merging
/// of shards' answers.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ROUTE_TABLE_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ROUTE_TABLE_HPP

#include <knapweedstream/route.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace knapweedstream::dispatch
{

/// Finds the route of a request: of those for the host, the one with the
/// longest `path_start` that the path begins with.
///
/// @param[in] target Request target: a path, with or without a query.
/// @returns The route, or null if there is none.
auto find_route(routing_config const& config, std::string_view host,
    std::string_view target) -> route const*;

/// Names of all services that a route may use.
auto services_of(route const& r) -> std::vector<std::string>;

/// Chooses the service for the next request of a split by smooth weighted round
/// robin, so that the shares follow the weights over any span of requests.
///
/// @param[in,out] credits State of the round robin, one entry per service.
/// @returns Index in `to_split::parts`.
auto next_split_part(to_split const& split, std::vector<std::int64_t>& credits)
    -> std::size_t;

/// Merges records of 16 bytes: the greatest `top_k`, greatest first.
///
/// Bytes after the last whole record of a part are ignored; equal records are
/// all kept.
auto merge_records(std::span<std::string_view const> parts, std::uint32_t top_k)
    -> std::string;

} // namespace knapweedstream::dispatch

#endif
