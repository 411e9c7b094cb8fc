#include "adapter/recorder.hpp"

#include "adapter/value_codec.hpp"

namespace knapweedstream
{

auto recorder::start(std::string const& path, std::uint64_t max_bytes,
    node_init const& init, time_point now) -> leaf::result<void>
{
    out_.open(path, std::ios::trunc);
    if (!out_)
        return leaf::new_error(file_error{path});
    bytes_left_ = max_bytes;
    write(encode(record_start{now, init}));
    return {};
}

auto recorder::add(event const& e, time_point now) -> void
{
    if (bytes_left_ > 0)
        write(encode(recorded_event{now, e}));
}

auto recorder::write(std::string const& line) -> void
{
    auto const n = line.size() + 1;
    if (n > bytes_left_)
    {
        bytes_left_ = 0;
        out_.flush();
        return;
    }
    bytes_left_ -= n;
    out_ << line << '\n';
}

auto parse_record_start(std::string const& line) -> leaf::result<record_start>
{
    return decode<record_start>(line, "record start");
}

auto parse_recorded_event(std::string const& line)
    -> leaf::result<recorded_event>
{
    return decode<recorded_event>(line, "recorded event");
}

auto command_text(command const& it) -> std::string
{
    return encode(it);
}

} // namespace knapweedstream
