/// Burn rates of error budgets: the page that each instance serves, and the
/// report over all instances.
#ifndef KNAPWEEDSTREAM_ADAPTER_BURN_PAGE_HPP
#define KNAPWEEDSTREAM_ADAPTER_BURN_PAGE_HPP

#include "adapter/error.hpp"
#include "core/burn.hpp"

#include <map>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// Objectives of one customer and its request counts by minute.
struct customer_burn
{
    service_objectives objectives;
    minute_counts minutes;

    auto operator<=>(customer_burn const&) const = default;
};

/// Objectives and counts by customer name.
using burn_table = std::map<std::string, customer_burn>;

/// Adds the counts of a request to the customer's minute and sets the
/// customer's objectives. Removes the customer's minutes that lie before the
/// longest burn window, which ends with `minute`.
///
/// @param[in] minute Minute of the request, in minutes since 1970.
auto add_request(burn_table& table, std::string const& customer,
    service_objectives const& o, request_counts const& c, std::int64_t minute)
    -> void;

/// Adds the counts in `other`, the table of another instance, to `table`. For
/// each customer in `other`, the objectives in `other` replace those in
/// `table`.
auto merge_burn(burn_table& table, burn_table const& other) -> void;

/// Encodes the body of the page `/v1/burn`.
auto to_json(burn_table const& table) -> std::string;
/// Decodes the page `/v1/burn` of an instance.
///
/// @returns The table, or `decode_error`.
auto parse_burn(std::string_view body) -> leaf::result<burn_table>;

/// The report as a text table with one row per customer and objective.
///
/// @param[in] last Last minute of the windows, in minutes since 1970.
auto burn_text(burn_table const& table, std::int64_t last) -> std::string;
/// The report as a JSON array with one object per customer and objective.
///
/// @param[in] last Last minute of the windows, in minutes since 1970.
auto burn_json(burn_table const& table, std::int64_t last) -> std::string;
/// The report as one self-contained HTML page, with a plot per objective.
///
/// @param[in] last Last minute of the windows, in minutes since 1970.
auto burn_html(burn_table const& table, std::int64_t last) -> std::string;

} // namespace knapweedstream

#endif
