/// Logging: one line per event, with the component, a short sentence and
/// key=value fields.
#ifndef KNAPWEEDSTREAM_ADAPTER_LOG_HPP
#define KNAPWEEDSTREAM_ADAPTER_LOG_HPP

#include "adapter/log_writer.hpp"
#include "adapter/settings.hpp"
#include "port/command.hpp"

#include <string_view>

namespace knapweedstream
{

/// Starts logging to standard output.
///
/// @param[in] min_level Lowest severity that is logged.
auto start_log(log_level min_level, log_bounds const& bounds = {}) -> void;

/// Writes as many buffered lines to standard output as it accepts without
/// blocking.
auto flush_log() -> void;

/// Lines dropped since the start, because there were too many in a second or
/// because standard output was not read and the buffer was full.
auto dropped_log_lines() -> std::uint64_t;

/// Logs a line.
///
/// @param[in] component Prefix of the line, such as `node`, `leaf` or `config`.
/// @param[in] text Short sentence, then key=value fields.
auto log(log_level level, std::string_view component, std::string_view text)
    -> void;

/// Name of a rollout's phase in logs and on the status page.
auto phase_name(rollout_phase it) -> char const*;
/// Name of a rollout's fault in logs and on the status page.
auto fault_name(rollout_fault it) -> char const*;

/// Logs a fact that the node reports.
auto log_fact(fact const& it) -> void;

} // namespace knapweedstream

#endif
