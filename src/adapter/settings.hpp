/// Settings of an instance and customer templates, parsed from INI files.
#ifndef KNAPWEEDSTREAM_ADAPTER_SETTINGS_HPP
#define KNAPWEEDSTREAM_ADAPTER_SETTINGS_HPP

#include "adapter/error.hpp"
#include "core/node.hpp"

#include <string>

namespace knapweedstream
{

/// Severity of a log line, in rising order.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Reads the name of a severity; false if there is no such severity.
auto read_level(std::string const& text, log_level& out) -> bool;

/// Settings of an instance that runs a node.
struct instance_settings
{
    instance_info self;           ///< Name, zone and peer address.
    std::string caller_address;   ///< For callers, load balancer, operators.
    std::string platform_address; ///< Of the platform's object API.
    log_level level = log_level::info;
    std::string record_path; ///< File to record events in, if set.
    std::uint64_t record_max_bytes = 16'000'000;
    node_limits limits;
    node_policy policy;

    auto operator<=>(instance_settings const&) const = default;
};

/// Parses a settings file.
///
/// @param[in] path File name for error messages.
/// @param[in] text Content of the file.
/// @returns The settings, or `ini_errors` with every error in the file.
auto parse_settings(std::string const& path, std::string const& text)
    -> leaf::result<instance_settings>;

/// Parses a customer template and checks that each shard has a target in a zone
/// whose state is not `out`.
///
/// @param[in] path File name for error messages.
/// @param[in] text Content of the file.
/// @returns The configuration with version 0, or `ini_errors` with every error
/// in the file.
auto parse_template(std::string const& path, std::string const& text)
    -> leaf::result<customer_config>;

} // namespace knapweedstream

#endif
