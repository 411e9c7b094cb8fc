#include "core/dispatch/concurrency_limit.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto late_objective_share = 0.4; ///< Of the latency objective.
constexpr auto late_usual_factor = 2.5;    ///< Multiple of the typical latency.
/// Lower bound of the limit, in requests.
constexpr auto min_concurrency = 1.0;
/// Upper bound of the limit, in requests.
constexpr auto max_concurrency = 64.0;

} // namespace

auto late_after(latency_estimate const& usual, duration objective) -> duration
{
    return std::max(scaled(objective, late_objective_share),
        scaled(typical_latency(usual, duration{0}), late_usual_factor));
}

auto with_sample(adaptive_limit const& limit, concurrency_sample const& r,
    time_point now) -> adaptive_limit
{
    auto const used = with_open(limit, r.in_flight);
    if (r.refused || r.took > r.late_after)
        return with_overload(used, min_concurrency, now);
    return r.good ? with_completed(used, max_concurrency) : used;
}

auto concurrency_after_pause(adaptive_limit const& limit) -> adaptive_limit
{
    return {min_concurrency, limit.open, limit.last_decrease};
}

auto has_capacity(adaptive_limit const& limit, std::uint32_t in_flight) -> bool
{
    return may_open(with_open(limit, in_flight));
}

} // namespace knapweedstream::dispatch
