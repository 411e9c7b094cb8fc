/// HTTP messages as read from, or written to, a connection.
#ifndef KNAPWEEDSTREAM_ADAPTER_HTTP_MESSAGE_HPP
#define KNAPWEEDSTREAM_ADAPTER_HTTP_MESSAGE_HPP

#include <knapweedstream/exchange.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstream
{

/// A whole request or response.
struct http_message
{
    std::string method;       ///< Of a request.
    std::string target;       ///< Of a request: path and query.
    std::uint32_t status = 0; ///< Of a response.
    std::vector<header_field> fields;
    std::string body;
    bool keep_alive = true; ///< The connection may be used again.

    auto operator<=>(http_message const&) const = default;
};

/// True if two field names are the same; case does not count.
auto same_name(std::string_view a, std::string_view b) -> bool;

/// Value of the first field of that name; empty if there is none.
auto find_field(http_message const& m, std::string_view name)
    -> std::string_view;

/// True if a field of that name is there.
auto has_field(http_message const& m, std::string_view name) -> bool;

/// Fields without those that concern only one connection or the framing.
auto end_to_end_fields(http_message&& m) -> std::vector<header_field>;

/// Text of a request; adds the length of the body.
auto request_text(http_message const& m) -> std::string;

/// Request line and fields; more fields may follow.
auto request_head(std::string_view method, std::string_view target,
    std::vector<header_field> const& fields, std::size_t body_bytes)
    -> std::string;

/// Appends a field's line.
auto add_field(std::string& out, std::string_view name, std::string_view value)
    -> void;

/// Text of a response; adds the length of the body.
///
/// @param[in] to_head The request was a HEAD: no body is written.
auto response_text(http_message const& m, bool head_request = false)
    -> std::string;

} // namespace knapweedstream

#endif
