#include "adapter/http_message.hpp"

#include <event2/http.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>

namespace knapweedstream
{

namespace
{

constexpr auto typical_head_bytes = std::size_t{512}; ///< Usual size.

auto lower(char c) -> char
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

auto is_hop_by_hop(std::string_view name) -> bool
{
    constexpr auto names =
        std::array<std::string_view, 10>{"connection", "keep-alive",
            "proxy-connection", "proxy-authenticate", "proxy-authorization",
            "te", "trailer", "transfer-encoding", "upgrade", "content-length"};
    return std::any_of(names.begin(), names.end(),
        [&](std::string_view it) { return same_name(it, name); });
}

/// True if a comma-separated list such as `close, X-A` contains the name.
auto list_contains(std::string_view list, std::string_view name) -> bool
{
    while (!list.empty())
    {
        auto const comma = std::min(list.find(','), list.size());
        auto it = list.substr(0, comma);
        while (!it.empty() && (it.front() == ' ' || it.front() == '\t'))
            it.remove_prefix(1);
        while (!it.empty() && (it.back() == ' ' || it.back() == '\t'))
            it.remove_suffix(1);
        if (same_name(it, name))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

auto reason_phrase(std::uint32_t status) -> std::string_view
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

auto same_name(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
               [](char x, char y) { return lower(x) == lower(y); });
}

auto find_field(http_message const& m, std::string_view name)
    -> std::string_view
{
    for (auto const& it : m.fields)
        if (same_name(it.name, name))
            return it.value;
    return {};
}

auto has_field(http_message const& m, std::string_view name) -> bool
{
    return std::any_of(m.fields.begin(), m.fields.end(),
        [&](header_field const& it) { return same_name(it.name, name); });
}

auto end_to_end_fields(http_message&& m) -> std::vector<header_field>
{
    auto const connection = std::string{find_field(m, "Connection")};
    std::erase_if(m.fields,
        [&](header_field const& it) {
            return is_hop_by_hop(it.name) || list_contains(connection, it.name);
        });
    return std::move(m.fields);
}

auto uri_encoded(std::string const& text) -> std::string
{
    auto const size = static_cast<ev_ssize_t>(text.size());
    auto const it = std::unique_ptr<char, void (*)(void*)>{
        evhttp_uriencode(text.data(), size, 0), std::free};
    return it == nullptr ? std::string{} : std::string{it.get()};
}

auto add_field(std::string& out, std::string_view name, std::string_view value)
    -> void
{
    out.append(name).append(": ").append(value).append("\r\n");
}

auto request_head(std::string_view method, std::string_view target,
    std::vector<header_field> const& fields, std::size_t body_bytes)
    -> std::string
{
    auto out = std::string{};
    out.reserve(typical_head_bytes);
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (auto const& it : fields)
        add_field(out, it.name, it.value);
    if (body_bytes > 0 || (method != "GET" && method != "HEAD"))
        add_field(out, "Content-Length", std::to_string(body_bytes));
    return out;
}

auto request_text(http_message const& m) -> std::string
{
    return request_head(m.method, m.target, m.fields, m.body.size()) + "\r\n" +
           m.body;
}

auto response_text(http_message const& m, bool head_request) -> std::string
{
    auto out = std::string{};
    out.reserve(typical_head_bytes + m.body.size());
    out.append("HTTP/1.1 ").append(std::to_string(m.status));
    out.append(" ").append(reason_phrase(m.status)).append("\r\n");
    for (auto const& it : m.fields)
        add_field(out, it.name, it.value);
    add_field(out, "Content-Length", std::to_string(m.body.size()));
    if (!m.keep_alive)
        add_field(out, "Connection", "close");
    out.append("\r\n");
    if (!head_request)
        out.append(m.body);
    return out;
}

} // namespace knapweedstream
