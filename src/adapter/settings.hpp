/// Settings of an instance, read whole from an INI file.
#ifndef KNAPWEEDSTREAM_ADAPTER_SETTINGS_HPP
#define KNAPWEEDSTREAM_ADAPTER_SETTINGS_HPP

#include "adapter/error.hpp"
#include "core/node.hpp"

#include <string>

namespace knapweedstream
{

/// Least severity of log lines.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Reads the name of a severity.
auto read_level(std::string const& text, log_level& out) -> bool;

/// Settings of one instance.
struct instance_settings
{
    instance_info self;           ///< Name, zone, peer address.
    std::string caller_address;   ///< For callers, balancer and operators.
    std::string platform_address; ///< Object API.
    log_level level = log_level::info;
    std::string record_path; ///< Events are recorded here if set.
    std::uint64_t record_max_bytes = 16'000'000;
    node_limits limits;
    node_policy policy;

    auto operator<=>(instance_settings const&) const = default;
};

/// Reads settings.
///
/// @param[in] path Named in errors.
/// @param[in] text Content of the file.
/// @returns Settings, or `ini_errors` with all that is wrong.
auto parse_settings(std::string const& path, std::string const& text)
    -> leaf::result<instance_settings>;

/// Reads a customer template.
///
/// @returns The configuration with version 0, or `ini_errors`.
auto parse_template(std::string const& path, std::string const& text)
    -> leaf::result<customer_config>;

} // namespace knapweedstream

#endif
