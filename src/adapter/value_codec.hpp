/// Generic JSON codec of value types; Boost.PFR gives access to their fields.
///
/// An aggregate is an array of its fields, a variant is `[index, value]` and an
/// enumerator is its number. Changing the order of fields, alternatives or
/// enumerators changes the encoding.
#ifndef KNAPWEEDSTREAM_ADAPTER_VALUE_CODEC_HPP
#define KNAPWEEDSTREAM_ADAPTER_VALUE_CODEC_HPP

#include "adapter/error.hpp"
#include "adapter/json_limits.hpp"

#include <boost/json.hpp>
#include <boost/pfr/core.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace knapweedstream
{

namespace detail
{

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};
template <class T>
struct is_variant : std::false_type
{
};
template <class... Ts>
struct is_variant<std::variant<Ts...>> : std::true_type
{
};
template <class T>
struct is_duration : std::false_type
{
};
template <class R, class P>
struct is_duration<std::chrono::duration<R, P>> : std::true_type
{
};
template <class T>
struct is_time_point : std::false_type
{
};
template <class C, class D>
struct is_time_point<std::chrono::time_point<C, D>> : std::true_type
{
};

template <class T>
auto encode_value(T const& it) -> boost::json::value;

template <class T>
auto encode_fields(T const& it) -> boost::json::value
{
    auto fields = boost::json::array{};
    boost::pfr::for_each_field(
        it, [&](auto const& f) { fields.push_back(encode_value(f)); });
    return fields;
}

template <class T>
auto encode_value(T const& it) -> boost::json::value
{
    if constexpr (std::is_enum_v<T>)
        return static_cast<std::uint64_t>(it);
    else if constexpr (std::is_arithmetic_v<T>)
        return it;
    else if constexpr (std::is_same_v<T, std::string>)
        return boost::json::string(it);
    else if constexpr (is_duration<T>::value)
        return it.count();
    else if constexpr (is_time_point<T>::value)
        return it.time_since_epoch().count();
    else if constexpr (is_vector<T>::value)
    {
        auto list = boost::json::array{};
        list.reserve(it.size());
        for (auto const& element : it)
            list.push_back(encode_value(element));
        return list;
    }
    else if constexpr (is_variant<T>::value)
    {
        auto inner =
            std::visit([](auto const& v) { return encode_value(v); }, it);
        return boost::json::array{it.index(), std::move(inner)};
    }
    else
        return encode_fields(it);
}

template <class T>
auto decode_value(boost::json::value const& v, T& it) -> bool;

template <class T>
auto decode_number(boost::json::value const& v, T& it) -> bool
{
    auto ec = boost::json::error_code{};
    it = v.to_number<T>(ec);
    return !ec;
}

template <class T>
auto decode_list(boost::json::value const& v, T& it) -> bool
{
    auto const* list = v.if_array();
    if (list == nullptr)
        return false;
    it.resize(list->size());
    for (std::size_t i = 0; i < it.size(); ++i)
        if (!decode_value((*list)[i], it[i]))
            return false;
    return true;
}

template <class T, std::size_t I = 0>
auto decode_variant(std::size_t index, boost::json::value const& v, T& it)
    -> bool
{
    if constexpr (I == std::variant_size_v<T>)
        return false;
    else if (index == I)
        return decode_value(v, it.template emplace<I>());
    else
        return decode_variant<T, I + 1>(index, v, it);
}

template <class T>
auto decode_fields(boost::json::value const& v, T& it) -> bool
{
    auto const* list = v.if_array();
    if (list == nullptr || list->size() != boost::pfr::tuple_size_v<T>)
        return false;
    auto good = true;
    auto i = std::size_t{0};
    boost::pfr::for_each_field(
        it, [&](auto& f) { good = good && decode_value((*list)[i++], f); });
    return good;
}

template <class T>
auto decode_value(boost::json::value const& v, T& it) -> bool
{
    if constexpr (std::is_same_v<T, bool>)
    {
        if (v.is_bool())
            it = v.get_bool();
        return v.is_bool();
    }
    else if constexpr (std::is_enum_v<T>)
    {
        auto raw = std::underlying_type_t<T>{};
        auto const good = decode_number(v, raw);
        it = static_cast<T>(raw);
        return good;
    }
    else if constexpr (std::is_arithmetic_v<T>)
        return decode_number(v, it);
    else if constexpr (std::is_same_v<T, std::string>)
    {
        if (v.is_string())
            it = std::string(v.get_string());
        return v.is_string();
    }
    else if constexpr (is_duration<T>::value)
    {
        auto n = typename T::rep{};
        auto const good = decode_number(v, n);
        it = T{n};
        return good;
    }
    else if constexpr (is_time_point<T>::value)
    {
        auto n = typename T::rep{};
        auto const good = decode_number(v, n);
        it = T{typename T::duration{n}};
        return good;
    }
    else if constexpr (is_vector<T>::value)
        return decode_list(v, it);
    else if constexpr (is_variant<T>::value)
    {
        auto const* pair = v.if_array();
        auto index = std::size_t{0};
        return pair != nullptr && pair->size() == 2 &&
               decode_number((*pair)[0], index) &&
               decode_variant(index, (*pair)[1], it);
    }
    else
        return decode_fields(v, it);
}

} // namespace detail

/// Encodes a value as JSON.
template <class T>
auto encode(T const& it) -> std::string
{
    return boost::json::serialize(detail::encode_value(it));
}

/// Decodes a value.
///
/// @param[in] text Text made by `encode`.
/// @param[in] what Name of the value in the error message.
/// @returns The value, or `decode_error`.
template <class T>
auto decode(std::string_view text, char const* what) -> leaf::result<T>
{
    auto ec = boost::json::error_code{};
    auto const v =
        boost::json::parse(boost::json::string_view{text.data(), text.size()},
            ec, {}, lenient_options());
    auto it = T{};
    if (ec || !detail::decode_value(v, it))
        return leaf::new_error(decode_error{what});
    return it;
}

} // namespace knapweedstream

#endif
