/// Records of events with their times, to replay what was seen in service.
///
/// Line 1 holds the `node_init`; each further line holds `[time, event]`.
#ifndef KNAPWEEDSTREAM_ADAPTER_RECORDER_HPP
#define KNAPWEEDSTREAM_ADAPTER_RECORDER_HPP

#include "adapter/error.hpp"
#include "core/node.hpp"

#include <fstream>
#include <string>

namespace knapweedstream
{

/// Writes a record until it has its greatest size.
class recorder
{
public:
    recorder() = default;

    /// @param[in] max_bytes Writing stops before this size.
    auto start(std::string const& path, std::uint64_t max_bytes,
        node_init const& init, time_point now) -> leaf::result<void>;

    auto add(event const& e, time_point now) -> void;

    /// Writes out what is buffered.
    auto flush() -> void { out_.flush(); }

private:
    auto write(std::string const& line) -> void;

    std::ofstream out_;
    std::uint64_t bytes_left_ = 0;
};

/// An event of a record.
struct recorded_event
{
    time_point at;
    event what;
};

/// First line of a record.
struct record_start
{
    time_point at;
    node_init init;
};

/// Reads the first line of a record.
auto parse_record_start(std::string const& line) -> leaf::result<record_start>;
/// Reads a further line of a record.
auto parse_recorded_event(std::string const& line)
    -> leaf::result<recorded_event>;

/// Text of a command, the same for equal commands.
auto command_text(command const& it) -> std::string;

} // namespace knapweedstream

#endif
