/// Counts of good and bad requests per objective, and burn rates of error
/// budgets.
#ifndef KNAPWEEDSTREAM_CORE_BURN_HPP
#define KNAPWEEDSTREAM_CORE_BURN_HPP

#include <knapweedstream/booking.hpp>
#include <knapweedstream/objectives.hpp>
#include <knapweedstream/query.hpp>

#include <array>
#include <map>
#include <vector>

namespace knapweedstream
{

/// Returns what an answered query adds to the counts of each objective.
auto count_answer(query_answer const& a, service_objectives const& o)
    -> request_counts;

/// Returns what a refused request adds to the counts of each objective. Invalid
/// requests, and those above the customer's own limit, add nothing.
auto count_refusal(refusal const& r) -> request_counts;

/// Returns what an answered booking adds to the counts of each objective.
auto count_booking(booking_answer const& a) -> request_counts;

auto operator+(request_counts const& a, request_counts const& b)
    -> request_counts;

/// Counts by minute since 1970.
using minute_counts = std::map<std::int64_t, request_counts>;

/// Sums the counts of the minutes `(last - n, last]`.
auto sum_minutes(minute_counts const& m, std::int64_t last, std::int64_t n)
    -> request_counts;

/// Burn rate; at 1 the error budget lasts exactly for its period. Zero without
/// requests.
///
/// @param[in] target Share of good requests wanted, below 1.
auto burn_rate(objective_count const& c, double target) -> double;

/// Windows over which burn rates are reported, minutes.
constexpr auto burn_windows = std::array<std::int64_t, 4>{5, 30, 60, 360};

/// Alert for the burn rates of an objective.
enum class burn_alert : std::uint8_t
{
    none,
    ticket, ///< Above 6 over both 30 minutes and 6 hours.
    page,   ///< Above 14.4 over both 5 minutes and 1 hour.
};

/// Burn rates of one objective.
struct objective_burn
{
    char const* name = "";
    double target = 0;
    objective_count count; ///< Over the longest window.
    /// Unspent share of the error budget of the longest window; negative if
    /// overspent.
    double budget_left = 1;
    std::array<double, burn_windows.size()> rates{};
    burn_alert alert = burn_alert::none;
};

/// Burn rates, budget and alert of each objective of a customer.
///
/// @param[in] last Last minute of the windows, since 1970.
auto burn_by_objective(minute_counts const& m, service_objectives const& o,
    std::int64_t last) -> std::vector<objective_burn>;

} // namespace knapweedstream

#endif
