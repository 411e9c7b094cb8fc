/// Incremental parser for HTTP/1.1 messages (libhttp-parser).
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

/// Kind of messages that a reader parses.
enum class message_kind : std::uint8_t
{
    request,
    response,
};

/// Why a message was not accepted.
enum class read_error : std::uint8_t
{
    malformed,
    header_too_large,
    body_too_large,
};

/// Maximum sizes that a reader accepts; 0: no limit.
struct read_limits
{
    std::size_t header_bytes = 0; ///< Request target and header fields.
    std::size_t body_bytes = 0;

    auto operator<=>(read_limits const&) const = default;
};

/// Parses the messages of a connection one after the other. After an error it
/// accepts no more bytes.
class http_reader
{
public:
    http_reader(message_kind kind, read_limits const& limits);
    http_reader(http_reader const&) = delete;
    auto operator=(http_reader const&) -> http_reader& = delete;

    /// Parses bytes up to the end of the first complete message. Afterwards,
    /// check `is_complete` and `error`; a complete message must be taken
    /// before more bytes are parsed.
    ///
    /// @returns Number of bytes parsed.
    auto feed(std::string_view bytes) -> std::size_t;

    /// Tells the parser that the peer closed the connection cleanly. This
    /// completes a response without a stated length; anything else incomplete
    /// becomes `read_error::malformed`.
    auto end() -> void;

    /// Returns the complete message and prepares for the next one.
    auto take() -> http_message;

    auto is_complete() const -> bool { return complete_; }
    auto error() const -> std::optional<read_error> { return error_; }

    /// True if the message has begun but is not complete.
    auto is_partial() const -> bool { return begun_ && !complete_; }

    /// True if the head has been parsed but the message is not complete.
    auto has_head() const -> bool { return head_done_ && !complete_; }

    /// The message parsed so far; use only while `has_head`.
    auto head() const -> http_message const& { return message_; }

    /// Memory that the partial message takes, in bytes.
    auto partial_bytes() const -> std::size_t
    {
        return complete_ ? 0 : header_bytes_ + message_.body.capacity();
    }

    /// Frees the memory of the partial message. No more bytes may be parsed.
    auto discard() -> void;

    /// Sets whether the next response answers a HEAD request and so has no
    /// body.
    auto expect_no_body(bool it) -> void { no_body_ = it; }

    /// Sets the limits at once, also for the rest of a partial message.
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
    /// True if only blanks stand between the last line break and a byte of
    /// `piece_`, or its end.
    auto begins_line(char const* at) const -> bool;

    message_kind kind_;
    read_limits limits_;
    http_parser parser_{};
    http_message message_;
    std::size_t header_bytes_ = 0;
    std::size_t head_fields_ = 0; ///< Those after the body are not kept.
    std::size_t interim_ = 0;  ///< Interim responses since the last response.
    std::string_view piece_;   ///< Bytes that are being parsed.
    bool line_begins_ = false; ///< `begins_line` for the byte after them.
    bool in_value_ = false;
    bool begun_ = false;
    bool head_done_ = false;
    bool complete_ = false;
    bool no_body_ = false;
    std::optional<read_error> error_;
};

} // namespace knapweedstream

#endif
