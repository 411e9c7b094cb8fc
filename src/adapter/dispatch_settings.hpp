/// Settings of an instance that dispatches by routes (`front_end = routes`).
#ifndef KNAPWEEDSTREAM_ADAPTER_DISPATCH_SETTINGS_HPP
#define KNAPWEEDSTREAM_ADAPTER_DISPATCH_SETTINGS_HPP

#include "adapter/settings.hpp"
#include "core/dispatch/dispatcher.hpp"

#include <map>
#include <string>
#include <variant>

namespace knapweedstream
{

/// Settings of one such instance.
struct dispatch_settings
{
    instance_record self;         ///< Name, availability zone, region.
    std::string caller_address;   ///< For callers.
    std::string ready_address;    ///< For the balancer.
    std::string metrics_address;  ///< For operators; empty: none.
    std::string platform_address; ///< The platform's store.
    log_level level = log_level::info;
    std::uint32_t log_lines_per_s = 400; ///< Lines beyond it are counted only.
    std::map<std::string, std::string> regions; ///< By availability zone.
    dispatch::dispatch_bounds bounds;
    dispatch::dispatch_limits limits;

    auto operator<=>(dispatch_settings const&) const = default;
};

/// Settings of either front end.
using any_settings = std::variant<instance_settings, dispatch_settings>;

/// Reads settings of the front end that they name.
///
/// @param[in] path Named in errors.
/// @returns Settings, or `ini_errors` with all that is wrong.
auto parse_any_settings(std::string const& path, std::string const& text)
    -> leaf::result<any_settings>;

} // namespace knapweedstream

#endif
