/// HTTP/1.1 messages and their text on the wire.
#ifndef KNAPWEEDSTREAM_ADAPTER_HTTP_MESSAGE_HPP
#define KNAPWEEDSTREAM_ADAPTER_HTTP_MESSAGE_HPP

#include <knapweedstream/exchange.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstream
{

/// A complete request or response.
struct http_message
{
    std::string method;       ///< Requests only.
    std::string target;       ///< Requests only: path and query.
    std::uint32_t status = 0; ///< Responses only.
    std::vector<header_field> fields;
    std::string body;
    bool keep_alive = true; ///< The connection can carry another message.

    auto operator<=>(http_message const&) const = default;
};

/// Compares two field names, ignoring ASCII case.
auto same_name(std::string_view a, std::string_view b) -> bool;

/// Value of the first field with this name; empty if there is none.
auto find_field(http_message const& m, std::string_view name)
    -> std::string_view;

/// True if the message has a field with this name.
auto has_field(http_message const& m, std::string_view name) -> bool;

/// Fields to forward: all except hop-by-hop fields, fields that `Connection`
/// lists, and `Content-Length`.
auto end_to_end_fields(http_message&& m) -> std::vector<header_field>;

/// Serializes a request with `Content-Length`, which is left out for a GET or
/// HEAD without a body.
auto request_text(http_message const& m) -> std::string;

/// Request line and fields without the final blank line, so that more fields
/// can follow. Adds `Content-Length`, except to a GET or HEAD without a body.
auto request_head(std::string_view method, std::string_view target,
    std::vector<header_field> const& fields, std::size_t body_bytes)
    -> std::string;

/// Text as part of a path or a query: all bytes but letters, digits and `-._~`
/// are percent-encoded.
auto uri_encoded(std::string const& text) -> std::string;

/// Appends the line of a field, with its line break.
auto add_field(std::string& out, std::string_view name, std::string_view value)
    -> void;

/// Serializes a response with `Content-Length`; adds `Connection: close` if
/// `keep_alive` is false.
///
/// @param[in] head_request The request was a HEAD: the body is not written, but
///     `Content-Length` states its size.
auto response_text(http_message const& m, bool head_request = false)
    -> std::string;

} // namespace knapweedstream

#endif
