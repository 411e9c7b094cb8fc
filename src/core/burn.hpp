/// Counting requests towards objectives, and the burn rate of error budgets.
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

/// What an answered query counts for.
auto count_answer(query_answer const& a, service_objectives const& o)
    -> request_counts;

/// What a refused request counts for. Requests that are wrong in themselves,
/// and those above the customer's own limit, count for nothing.
auto count_refusal(refusal const& r) -> request_counts;

/// What a booking counts for.
auto count_booking(booking_answer const& a) -> request_counts;

auto operator+(request_counts const& a, request_counts const& b)
    -> request_counts;

/// Counts by minute since 1970.
using minute_counts = std::map<std::int64_t, request_counts>;

/// Sum over the minutes `(last - n, last]`.
auto sum_minutes(minute_counts const& m, std::int64_t last, std::int64_t n)
    -> request_counts;

/// Burn rate: 1 uses up the error budget exactly over the budget's period.
///
/// @param[in] target Share of good requests wanted, below 1.
auto burn_rate(objective_count const& c, double target) -> double;

/// Windows of the report, minutes.
constexpr auto burn_windows = std::array<std::int64_t, 4>{5, 30, 60, 360};

/// How urgent the burn of an objective is.
enum class burn_alert : std::uint8_t
{
    none,
    ticket, ///< Above 6 over 30 minutes and over 6 hours.
    page,   ///< Above 14.4 over 5 minutes and over 1 hour.
};

/// Burn of one objective.
struct objective_burn
{
    char const* name = "";
    double target = 0;
    objective_count count;  ///< Over the longest window.
    double budget_left = 1; ///< Share of the longest window's budget.
    std::array<double, burn_windows.size()> rates{};
    burn_alert alert = burn_alert::none;
};

/// Burn of all objectives of a customer.
auto burn_of(minute_counts const& m, service_objectives const& o,
    std::int64_t last) -> std::vector<objective_burn>;

} // namespace knapweedstream

#endif
