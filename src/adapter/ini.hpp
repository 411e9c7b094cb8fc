/// INI files read by a table of keys: every error in one go, with its line.
#ifndef KNAPWEEDSTREAM_ADAPTER_INI_HPP
#define KNAPWEEDSTREAM_ADAPTER_INI_HPP

#include "adapter/error.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstream
{

/// One key of a section, with where it stands.
struct ini_value
{
    std::string key;
    std::string value;
    std::uint32_t line = 0;

    auto operator<=>(ini_value const&) const = default;
};

/// One section.
struct ini_section
{
    std::string name;
    std::uint32_t line = 0;
    std::vector<ini_value> values;

    auto operator<=>(ini_section const&) const = default;
};

/// A file as read.
struct ini_file
{
    std::string path;
    std::vector<ini_section> sections;

    auto operator<=>(ini_file const&) const = default;
};

/// A key that a section may have.
template <class T>
struct ini_key
{
    std::string_view name;
    std::string_view expected; ///< Shown if `read` refuses the value.
    std::function<bool(std::string const&, T&)> read;
    bool required = false;
};

/// Reads an INI text; sections and keys keep their order and lines.
auto parse_ini(std::string const& path, std::string const& text)
    -> leaf::result<ini_file>;

/// Reads a file.
auto read_file(std::string const& path) -> leaf::result<std::string>;

/// Reads a number.
auto read_u32(std::string const& text, std::uint32_t& out) -> bool;
/// Reads a number.
auto read_u64(std::string const& text, std::uint64_t& out) -> bool;
/// Reads a number above 0.
auto read_positive(std::string const& text, std::uint32_t& out) -> bool;
/// Reads a real number.
auto read_double(std::string const& text, double& out) -> bool;
/// Reads `on` or `off`.
auto read_bool(std::string const& text, bool& out) -> bool;
/// Reads a text that is not empty.
auto read_text(std::string const& text, std::string& out) -> bool;
/// Reads an IP number and port.
auto read_address(std::string const& text, std::string& out) -> bool;

/// Fills a value from a section; adds what is wrong to `errors`.
template <class T>
auto read_section(ini_file const& file, ini_section const& section,
    std::vector<ini_key<T>> const& keys, T& out, std::vector<ini_error>& errors)
    -> void
{
    for (auto const& it : section.values)
    {
        auto const known = std::find_if(keys.begin(), keys.end(),
            [&](ini_key<T> const& k) { return k.name == it.key; });
        auto const expected =
            known == keys.end() ? "no such key" : std::string(known->expected);
        if (known == keys.end() || !known->read(it.value, out))
            errors.push_back(
                {file.path, it.line, section.name, it.key, expected});
    }
    for (auto const& k : keys)
    {
        auto const there =
            std::any_of(section.values.begin(), section.values.end(),
                [&](ini_value const& it) { return it.key == k.name; });
        if (k.required && !there)
            errors.push_back({file.path, section.line, section.name,
                std::string(k.name), std::string(k.expected)});
    }
}

} // namespace knapweedstream

#endif
