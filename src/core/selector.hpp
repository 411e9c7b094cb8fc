/// Replica selection by interchangeable policies.
#ifndef KNAPWEEDSTREAM_CORE_SELECTOR_HPP
#define KNAPWEEDSTREAM_CORE_SELECTOR_HPP

#include "core/random.hpp"

#include <knapweedstream/ids.hpp>

#include <compare>
#include <cstdint>
#include <span>
#include <variant>

namespace knapweedstream
{

/// A replica that can take a request now.
struct candidate
{
    target_id target;
    std::uint32_t in_flight = 0; ///< This owner's requests.
    std::uint32_t limit = 1;     ///< This owner's concurrency limit.
    double latency_us = 0;       ///< Smoothed; 0 if unknown.

    auto operator<=>(candidate const&) const = default;
};

/// Chooses a replica at random, with equal probability.
struct pick_random
{
    auto operator<=>(pick_random const&) const = default;
};

/// Chooses replicas in turn.
struct pick_round_robin
{
    std::uint32_t next = 0;
    auto operator<=>(pick_round_robin const&) const = default;
};

/// Chooses the better of two random replicas, by load times latency.
struct pick_two_choices
{
    auto operator<=>(pick_two_choices const&) const = default;
};

/// Chooses the replica with the most unused capacity (credits).
struct pick_credit
{
    auto operator<=>(pick_credit const&) const = default;
};

using selector =
    std::variant<pick_random, pick_round_robin, pick_two_choices, pick_credit>;

/// The selected candidate, with the states for the next choice.
struct selection
{
    std::size_t index = 0;
    selector next;
    random_state random;
};

/// Chooses one of the candidates.
///
/// @param[in] s Policy and its state.
/// @param[in] from Candidates; at least one.
/// @param[in] r Random state.
auto select(selector const& s, std::span<candidate const> from,
    random_state const& r) -> selection;

} // namespace knapweedstream

#endif
