#include "adapter/json_limits.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// Levels of arrays and objects that are kept; the library accepts 32.
constexpr auto max_depth = std::size_t{24};
constexpr auto max_exponent_digits = std::size_t{3};
constexpr auto number_characters = std::string_view{"0123456789+-.eE"};

/// Length of the string that begins with the quote at `at`.
auto string_length(std::string_view text, std::size_t at) -> std::size_t
{
    auto end = at + 1;
    while (end < text.size() && text[end] != '"')
        end += text[end] == '\\' ? 2 : 1;
    return std::min(text.size(), end + 1) - at;
}

/// True if the library can decode a string, given with its quotes.
auto is_decodable(std::string_view string) -> bool
{
    auto const is_plain = std::none_of(string.begin(), string.end(),
        [](unsigned char c) { return c == '\\' || c < ' '; });
    auto ec = boost::json::error_code{};
    if (!is_plain)
        boost::json::parse(
            boost::json::string_view{string.data(), string.size()}, ec, {},
            lenient_options());
    return !ec;
}

/// Text in place of a string that cannot be decoded, which ends at `end`.
auto replacement_of_string(std::string_view text, std::size_t end)
    -> char const*
{
    auto const next = text.find_first_not_of(" \t\r\n", end);
    auto const is_key = next != std::string_view::npos && text[next] == ':';
    return is_key ? "\"\"" : "null";
}

/// Length of the number at `at`.
auto number_length(std::string_view text, std::size_t at) -> std::size_t
{
    auto const end = text.find_first_not_of(number_characters, at);
    return std::min(end, text.size()) - at;
}

auto has_long_exponent(std::string_view number) -> bool
{
    auto const e = number.find_first_of("eE");
    if (e == std::string_view::npos)
        return false;
    auto const first = number.find_first_of("123456789", e);
    return first != std::string_view::npos &&
           number.size() - first > max_exponent_digits;
}

/// Length of the string, number or single character at `at`.
auto token_length(std::string_view text, std::size_t at) -> std::size_t
{
    if (text[at] == '"')
        return string_length(text, at);
    if (text[at] == '-' || (text[at] >= '0' && text[at] <= '9'))
        return number_length(text, at);
    return 1;
}

auto is_opening(std::string_view token) -> bool
{
    return token == "{" || token == "[";
}

auto is_closing(std::string_view token) -> bool
{
    return token == "}" || token == "]";
}

auto is_number(std::string_view token) -> bool
{
    return token.front() != '"' &&
           number_characters.find(token.front()) != std::string_view::npos;
}

} // namespace

auto lenient_options() -> boost::json::parse_options
{
    auto options = boost::json::parse_options{};
    options.allow_invalid_utf8 = true;
    return options;
}

auto without_excess(std::string_view json_text) -> std::string
{
    auto out = std::string{};
    auto depth = std::size_t{0};
    auto n = std::size_t{0};
    for (std::size_t at = 0; at < json_text.size(); at += n)
    {
        n = token_length(json_text, at);
        auto const token = json_text.substr(at, n);
        depth += is_opening(token) ? 1 : 0;
        auto const kept = depth <= max_depth;
        if (kept && is_number(token) && has_long_exponent(token))
            out.append("null");
        else if (kept && token.front() == '"' && !is_decodable(token))
            out.append(replacement_of_string(json_text, at + n));
        else if (kept)
            out.append(token);
        else if (is_opening(token) && depth == max_depth + 1)
            out.append("null");
        depth -= is_closing(token) && depth > 0 ? 1 : 0;
    }
    return out;
}

} // namespace knapweedstream
