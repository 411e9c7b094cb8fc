/// Writer for log lines that never blocks. It limits the rate of lines and the
/// memory for unwritten ones.
#ifndef KNAPWEEDSTREAM_ADAPTER_LOG_WRITER_HPP
#define KNAPWEEDSTREAM_ADAPTER_LOG_WRITER_HPP

#include <knapweedstream/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// Limits of the log writer; lines beyond them are dropped.
struct log_bounds
{
    std::uint32_t lines_per_s = 400;        ///< Maximum lines per second.
    std::size_t buffer_bytes = 256 * 1'024; ///< Maximum unwritten bytes.

    auto operator<=>(log_bounds const&) const = default;
};

/// Buffers lines and writes them when the descriptor accepts them.
class log_writer
{
public:
    /// @param[in] fd Descriptor to write to, such as a pipe.
    log_writer(int fd, log_bounds const& bounds) : fd_(fd), bounds_(bounds) {}

    /// Buffers a line, or drops it if a limit is reached.
    ///
    /// @param[in] line Without a line end.
    auto add(std::string_view line, time_point now) -> void;

    /// Writes as many buffered bytes as the descriptor accepts without
    /// blocking; keeps the rest.
    auto flush() -> void;

    /// Lines dropped since the start.
    auto dropped_lines() const -> std::uint64_t { return dropped_lines_; }

    auto set_bounds(log_bounds const& it) -> void { bounds_ = it; }

private:
    /// True if the line is within the rate limit.
    auto admit(time_point now) -> bool;
    /// Adds a line with the number of lines dropped since the last such line.
    auto report_dropped_lines() -> void;

    int fd_;
    log_bounds bounds_;
    std::string buffer_;
    time_point second_start_;
    std::uint32_t lines_this_second_ = 0; ///< Lines since `second_start_`.
    std::uint64_t dropped_lines_ = 0;     ///< Since the start.
    std::uint64_t unreported_drops_ = 0;  ///< Since the last report.
};

} // namespace knapweedstream

#endif
