#include "adapter/log_writer.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// A pipe that `poll` reports writable accepts this many bytes without
/// blocking.
constexpr auto chunk_bytes = std::size_t{4'096};

} // namespace

auto log_writer::admit(time_point now) -> bool
{
    if (now - second_start_ >= seconds{1})
    {
        second_start_ = now;
        lines_this_second_ = 0;
        report_dropped_lines();
    }
    return ++lines_this_second_ <= bounds_.lines_per_s;
}

auto log_writer::report_dropped_lines() -> void
{
    if (unreported_drops_ == 0 || buffer_.size() >= bounds_.buffer_bytes)
        return;
    buffer_.append("log: Lines dropped. count=")
        .append(std::to_string(unreported_drops_))
        .append("\n");
    unreported_drops_ = 0;
}

auto log_writer::add(std::string_view line, time_point now) -> void
{
    if (!admit(now) || buffer_.size() + line.size() > bounds_.buffer_bytes)
    {
        ++dropped_lines_;
        ++unreported_drops_;
        return;
    }
    auto const begin = buffer_.size();
    buffer_.append(line).push_back('\n');
    // Names of others may hold anything; the line stays one line.
    std::replace_if(
        buffer_.begin() + static_cast<std::ptrdiff_t>(begin), buffer_.end() - 1,
        [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    if (buffer_.size() >= chunk_bytes)
        flush();
}

auto log_writer::flush() -> void
{
    auto done = std::size_t{0};
    while (done < buffer_.size())
    {
        auto p = pollfd{fd_, POLLOUT, 0};
        if (poll(&p, 1, 0) <= 0 || (p.revents & POLLOUT) == 0)
            break;
        auto const n = write(fd_, buffer_.data() + done,
            std::min(chunk_bytes, buffer_.size() - done));
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, done);
}

} // namespace knapweedstream
