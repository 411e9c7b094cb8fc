/// Logs: one line an event, a fixed prefix for each part, key=value fields.
#ifndef KNAPWEEDSTREAM_ADAPTER_LOG_HPP
#define KNAPWEEDSTREAM_ADAPTER_LOG_HPP

#include "adapter/log_writer.hpp"
#include "adapter/settings.hpp"
#include "port/command.hpp"

#include <string_view>

namespace knapweedstream
{

/// Starts logging to standard output.
auto start_log(log_level min_level, log_bounds const& bounds = {}) -> void;

/// Writes what the reader of the log takes without waiting.
auto flush_log() -> void;

/// Lines left out since the start: too many a second, or nobody reads.
auto dropped_log_lines() -> std::uint64_t;

/// Writes a line.
///
/// @param[in] part Prefix: `node`, `leaf`, `peer`, `config`, `platform`.
/// @param[in] text Short sentence and fields.
auto log(log_level level, std::string_view component, std::string_view text)
    -> void;

/// Words for a rollout's state and fault.
auto phase_name(rollout_phase it) -> char const*;
/// Word for the fault of a rollout.
auto fault_name(rollout_fault it) -> char const*;

/// Writes the line of a fact that the node reports.
auto log_fact(fact const& it) -> void;

} // namespace knapweedstream

#endif
