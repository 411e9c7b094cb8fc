/// Service-level objectives of a customer, and what counts towards them.
#ifndef KNAPWEEDSTREAM_OBJECTIVES_HPP
#define KNAPWEEDSTREAM_OBJECTIVES_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Targets are shares of requests, from 0 to 1.
struct service_objectives
{
    milliseconds latency{100};          ///< An answer is late beyond it.
    double latency_target = 0.99;       ///< Answers in time.
    double coverage_target = 0.999;     ///< Answers that are complete.
    double availability_target = 0.999; ///< Requests that are not refused.
    double bookings_target = 0.999;     ///< Bookings with a known outcome.

    auto operator<=>(service_objectives const&) const = default;
};

/// Requests that count for one objective.
struct objective_count
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0;

    auto operator<=>(objective_count const&) const = default;
};

/// Counts for all objectives.
struct request_counts
{
    objective_count latency;
    objective_count coverage;
    objective_count availability;
    objective_count bookings;

    auto operator<=>(request_counts const&) const = default;
};

} // namespace knapweedstream

#endif
