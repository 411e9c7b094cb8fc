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

/// Settings of an instance that dispatches by routes.
struct dispatch_settings
{
    /// Name, availability zone, region, and where others ask for changes.
    instance_record self;
    std::string caller_address;   ///< Where callers connect.
    std::string ready_address;    ///< Readiness page for the load balancer.
    std::string metrics_address;  ///< Metrics page; not served if empty.
    std::string platform_address; ///< Where the platform's store listens.
    log_level level = log_level::info;
    /// Maximum log lines per second. Further lines are dropped and counted.
    std::uint32_t log_lines_per_s = 400;
    std::map<std::string, std::string> regions; ///< Region by zone.
    dispatch::dispatch_bounds bounds;           ///< The same for all instances.
    dispatch::dispatch_limits limits;           ///< Of this instance.

    auto operator<=>(dispatch_settings const&) const = default;
};

/// Settings of either front end.
using any_settings = std::variant<instance_settings, dispatch_settings>;

/// Parses a settings file of either front end. The key `front_end` of
/// `[instance]` selects which settings it must hold.
///
/// @param[in] path File name for error messages.
/// @param[in] text Content of the file.
/// @returns The settings, or `ini_errors` with every error in the file.
auto parse_any_settings(std::string const& path, std::string const& text)
    -> leaf::result<any_settings>;

} // namespace knapweedstream

#endif
