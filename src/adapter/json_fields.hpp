/// Access to members of untrusted JSON objects, which may be absent or have
/// the wrong type.
#ifndef KNAPWEEDSTREAM_ADAPTER_JSON_FIELDS_HPP
#define KNAPWEEDSTREAM_ADAPTER_JSON_FIELDS_HPP

#include "adapter/json_limits.hpp"

#include <knapweedstream/time.hpp>

#include <boost/json.hpp>

#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace knapweedstream
{

namespace json = boost::json;

/// Parses a JSON object; empty if the text is not one. Values that are nested
/// too deeply, too large or cannot be decoded become null.
inline auto parse_object_text(std::string_view text) -> json::object
{
    auto const parse = [](std::string_view from)
    {
        auto ec = json::error_code{};
        auto v = json::parse(json::string_view{from.data(), from.size()}, ec,
            {}, lenient_options());
        return std::pair{std::move(v), ec};
    };
    auto [v, ec] = parse(text);
    if (ec)
        std::tie(v, ec) = parse(without_excess(text));
    return !ec && v.is_object() ? std::move(v.get_object()) : json::object{};
}

/// Value of a string member; empty if it is absent or not a string.
inline auto text_of(json::object const& o, char const* key) -> std::string
{
    auto const* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->get_string())
                                          : std::string{};
}

/// Reads a number member into `out`. Leaves `out` unchanged if it is absent.
///
/// @returns False if the member is not a number in the range of `T`.
template <class T>
auto number_of(json::object const& o, char const* key, T& out) -> bool
{
    auto const* v = o.if_contains(key);
    if (v == nullptr)
        return true;
    auto ec = json::error_code{};
    auto const n = v->to_number<T>(ec);
    if (ec)
        return false;
    out = n;
    return true;
}

/// Reads a member in milliseconds into `out`. Leaves `out` unchanged if it is
/// absent.
///
/// @returns False unless the value is an integer from 0 to below 1,000,000,000.
inline auto millis_of(json::object const& o, char const* key, milliseconds& out)
    -> bool
{
    auto n = std::int64_t{out.count()};
    auto const good = number_of(o, key, n) && n >= 0 && n < 1'000'000'000;
    out = milliseconds{n};
    return good;
}

/// Value of an array member; empty if it is absent or not an array.
inline auto list_of(json::object const& o, char const* key) -> json::array
{
    auto const* v = o.if_contains(key);
    return v != nullptr && v->is_array() ? v->get_array() : json::array{};
}

/// Object in a value; empty if the value is not an object.
inline auto object_of(json::value const& v) -> json::object
{
    return v.is_object() ? v.get_object() : json::object{};
}

} // namespace knapweedstream

#endif
