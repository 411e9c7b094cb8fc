/// Service-level objectives of a customer and the request counts to check them.
#ifndef KNAPWEEDSTREAM_OBJECTIVES_HPP
#define KNAPWEEDSTREAM_OBJECTIVES_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Service-level objectives of a customer. The `*_target` fields are fractions
/// of requests, from 0 to 1.
struct service_objectives
{
    milliseconds latency{100};          ///< Answers that take longer are late.
    double latency_target = 0.99;       ///< Answers that are not late.
    double coverage_target = 0.999;     ///< Answers with full coverage.
    double availability_target = 0.999; ///< Requests that are not refused.
    double bookings_target = 0.999;     ///< Bookings with a known outcome.

    auto operator<=>(service_objectives const&) const = default;
};

/// Number of requests counted towards one objective, and of those that miss it.
struct objective_count
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0;

    auto operator<=>(objective_count const&) const = default;
};

/// Request counts for all objectives.
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
