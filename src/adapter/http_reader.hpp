/// Reads HTTP/1.1 messages from a stream of bytes (libhttp-parser).
#ifndef KNAPWEEDSTREAM_ADAPTER_HTTP_READER_HPP
#define KNAPWEEDSTREAM_ADAPTER_HTTP_READER_HPP

#include "adapter/http_message.hpp"

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedstream
{

/// Which messages a reader expects.
enum class message_kind : std::uint8_t
{
    request,
    response,
};

/// Why bytes are no message that is accepted.
enum class read_error : std::uint8_t
{
    malformed,
    header_too_large,
    body_too_large,
};

/// Sizes that a reader accepts; 0: any.
struct read_limits
{
    std::size_t header_bytes = 0; ///< All lines before the body.
    std::size_t body_bytes = 0;

    auto operator<=>(read_limits const&) const = default;
};

/// Reads one message after the other.
class http_reader
{
public:
    http_reader(message_kind kind, read_limits const& limits);
    http_reader(http_reader const&) = delete;
    auto operator=(http_reader const&) -> http_reader& = delete;

    /// Takes bytes up to the end of the first whole message.
    ///
    /// @returns Bytes taken. Then `message` or `error` may be set.
    auto feed(std::string_view bytes) -> std::size_t;

    /// The stream ended in an orderly way; a response without a stated length
    /// is complete now.
    auto end() -> void;

    /// The message that is complete; empties the reader for the next one.
    auto take() -> http_message;

    auto is_complete() const -> bool { return complete_; }
    auto error() const -> std::optional<read_error> { return error_; }

    /// True if a message has begun and is not complete.
    auto is_partial() const -> bool { return begun_ && !complete_; }

    /// True if the head is read and the rest of the message is not.
    auto has_head() const -> bool { return head_done_ && !complete_; }

    /// Fields of the head that is read.
    auto head() const -> http_message const& { return message_; }

    /// The response answers a HEAD request: it has no body.
    auto expect_no_body(bool it) -> void { no_body_ = it; }

    auto set_limits(read_limits const& limits) -> void { limits_ = limits; }

private:
    static auto settings() -> http_parser_settings const&;
    static auto on_field(http_parser* p, char const* at, std::size_t n) -> int;
    static auto on_value(http_parser* p, char const* at, std::size_t n) -> int;
    static auto on_url(http_parser* p, char const* at, std::size_t n) -> int;
    static auto on_body(http_parser* p, char const* at, std::size_t n) -> int;
    static auto on_begin(http_parser* p) -> int;
    static auto on_head(http_parser* p) -> int;
    static auto on_complete(http_parser* p) -> int;
    auto fail(read_error why) -> int;
    auto add_header_bytes(std::size_t n) -> bool;

    message_kind kind_;
    read_limits limits_;
    http_parser parser_{};
    http_message message_;
    std::size_t header_bytes_ = 0;
    bool in_value_ = false;
    bool begun_ = false;
    bool head_done_ = false;
    bool complete_ = false;
    bool no_body_ = false;
    std::optional<read_error> error_;
};

} // namespace knapweedstream

#endif
