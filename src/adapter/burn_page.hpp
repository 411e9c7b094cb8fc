/// The burn page of an instance, and the report over many of them.
#ifndef KNAPWEEDSTREAM_ADAPTER_BURN_PAGE_HPP
#define KNAPWEEDSTREAM_ADAPTER_BURN_PAGE_HPP

#include "adapter/error.hpp"
#include "core/burn.hpp"

#include <map>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// Counts and objectives of one customer.
struct customer_burn
{
    service_objectives objectives;
    minute_counts minutes;

    auto operator<=>(customer_burn const&) const = default;
};

/// By customer.
using burn_table = std::map<std::string, customer_burn>;

/// Adds a request and forgets minutes beyond the longest window.
auto add_request(burn_table& table, std::string const& customer,
    service_objectives const& o, request_counts const& c, std::int64_t minute)
    -> void;

/// Adds the counts of another instance.
auto merge_burn(burn_table& table, burn_table const& other) -> void;

/// JSON of the page `/v1/burn`.
auto to_json(burn_table const& table) -> std::string;
/// Decodes the page of an instance.
auto parse_burn(std::string_view body) -> leaf::result<burn_table>;

/// The report in its three forms.
auto burn_text(burn_table const& table, std::int64_t last) -> std::string;
/// The report as JSON.
auto burn_json(burn_table const& table, std::int64_t last) -> std::string;
/// The report as one self-contained page.
auto burn_html(burn_table const& table, std::int64_t last) -> std::string;

} // namespace knapweedstream

#endif
