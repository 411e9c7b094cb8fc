/// Lookup of routes by host and path, and of what a route needs.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_ROUTE_TABLE_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_ROUTE_TABLE_HPP

#include <knapweedstream/route.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace knapweedstream::dispatch
{

/// Finds the route of a request: the longest `path_prefix` among the host's.
///
/// @param[in] target Path, with or without a query.
/// @returns The route, or null.
auto find_route(routing_config const& config, std::string_view host,
    std::string_view target) -> route const*;

/// Names of all services that a route may use.
auto services_of(route const& r) -> std::vector<std::string>;

/// Chooses the next part of a split so that shares follow the weights at any
/// time (smooth weighted round robin).
///
/// @param[in] credits State, one entry a part; replaced by its successor.
/// @returns Index of the part.
auto next_part(to_split const& split, std::vector<std::int64_t>& credits)
    -> std::size_t;

/// Merges records of 16 bytes: the greatest `top_k`, greatest first.
///
/// A remainder shorter than a record is left out; equal records all count.
auto merge_records(std::span<std::string_view const> parts, std::uint32_t top_k)
    -> std::string;

} // namespace knapweedstream::dispatch

#endif
