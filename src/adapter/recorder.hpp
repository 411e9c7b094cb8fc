/// Recording of a node's events with their times, to replay them later.
///
/// The first line of a record holds its start time and the `node_init`; each
/// further line holds `[time, event]`.
#ifndef KNAPWEEDSTREAM_ADAPTER_RECORDER_HPP
#define KNAPWEEDSTREAM_ADAPTER_RECORDER_HPP

#include "adapter/error.hpp"
#include "core/node.hpp"

#include <fstream>
#include <string>

namespace knapweedstream
{

/// Writes a record to a file until the size limit is reached.
class recorder
{
public:
    recorder() = default;

    /// Creates or truncates the file and writes the first line.
    ///
    /// @param[in] max_bytes Maximum size of the file. The first line that would
    /// exceed it ends the record.
    /// @returns Nothing, or `file_error`.
    auto start(std::string const& path, std::uint64_t max_bytes,
        node_init const& init, time_point now) -> leaf::result<void>;

    /// Writes an event, unless the record has not started or has ended.
    auto add(event const& e, time_point now) -> void;

    /// Writes buffered lines to the file.
    auto flush() -> void { out_.flush(); }

private:
    auto write(std::string const& line) -> void;

    std::ofstream out_;
    std::uint64_t bytes_left_ = 0;
};

/// An event of a record and when it happened.
struct recorded_event
{
    time_point at;
    event what;
};

/// Content of the first line of a record.
struct record_start
{
    time_point at;
    node_init init;
};

/// Decodes the first line of a record.
///
/// @returns Its content, or `decode_error`.
auto parse_record_start(std::string const& line) -> leaf::result<record_start>;
/// Decodes any other line of a record.
///
/// @returns The event, or `decode_error`.
auto parse_recorded_event(std::string const& line)
    -> leaf::result<recorded_event>;

/// Encodes a command as text, so that the commands of a replay can be printed
/// and compared. Equal commands give equal texts.
auto command_text(command const& it) -> std::string;

} // namespace knapweedstream

#endif
