/// Log lines on standard output: bounded in memory and rate, never blocking.
#ifndef KNAPWEEDSTREAM_ADAPTER_LOG_WRITER_HPP
#define KNAPWEEDSTREAM_ADAPTER_LOG_WRITER_HPP

#include <knapweedstream/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// Bounds on what is logged.
struct log_bounds
{
    std::uint32_t lines_per_s = 400;        ///< Beyond it lines are left out.
    std::size_t buffer_bytes = 256 * 1'024; ///< Waiting for the reader.

    auto operator<=>(log_bounds const&) const = default;
};

/// Collects lines and writes them when the reader takes them.
class log_writer
{
public:
    /// @param[in] fd Descriptor that is written to.
    log_writer(int fd, log_bounds const& bounds) : fd_(fd), bounds_(bounds) {}

    /// Takes a line; without a line end.
    auto add(std::string_view line, time_point now) -> void;

    /// Writes what the reader takes without waiting.
    auto flush() -> void;

    /// Lines left out since the start.
    auto dropped_lines() const -> std::uint64_t { return dropped_lines_; }

    auto set_bounds(log_bounds const& it) -> void { bounds_ = it; }

private:
    auto admit(time_point now) -> bool;
    auto report_dropped_lines() -> void;

    int fd_;
    log_bounds bounds_;
    std::string buffer_;
    time_point second_start_;
    std::uint32_t lines_this_second_ = 0; ///< In this second.
    std::uint64_t dropped_lines_ = 0;     ///< Since the start.
    std::uint64_t unreported_drops_ = 0;  ///< Since it was last told.
};

} // namespace knapweedstream

#endif
