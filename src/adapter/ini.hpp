/// INI files whose sections are read by tables of keys. All wrong keys and
/// values are reported together, each with its line.
#ifndef KNAPWEEDSTREAM_ADAPTER_INI_HPP
#define KNAPWEEDSTREAM_ADAPTER_INI_HPP

#include "adapter/error.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstream
{

/// A key and value of a section, with their line in the file.
struct ini_value
{
    std::string key;
    std::string value;
    std::uint32_t line = 0;

    auto operator<=>(ini_value const&) const = default;
};

/// A section and the line of its header.
struct ini_section
{
    std::string name;
    std::uint32_t line = 0;
    std::vector<ini_value> values;

    auto operator<=>(ini_section const&) const = default;
};

/// The sections of an INI file, in the order of the file.
struct ini_file
{
    std::string path;
    std::vector<ini_section> sections;

    auto operator<=>(ini_file const&) const = default;
};

/// A key that a section may have, and how its value is read.
template <class T>
struct ini_key
{
    std::string_view name;
    std::string_view expected; ///< Valid values, for errors.
    /// Stores the value in the target; false if the value is not valid.
    std::function<bool(std::string const&, T&)> read;
    bool required = false;
};

/// Splits the text of an INI file into sections and keys.
///
/// @param[in] path File name for error messages.
/// @returns The file, or `ini_errors` with a syntax error.
auto parse_ini(std::string const& path, std::string const& text)
    -> leaf::result<ini_file>;

/// Reads a whole file.
///
/// @returns The content, or `file_error`.
auto read_file(std::string const& path) -> leaf::result<std::string>;

/// Reads an unsigned 32-bit integer; false if the text is anything else.
auto read_u32(std::string const& text, std::uint32_t& out) -> bool;
/// Reads an unsigned 64-bit integer; false if the text is anything else.
auto read_u64(std::string const& text, std::uint64_t& out) -> bool;
/// Reads a positive 32-bit integer; false if the text is anything else.
auto read_positive(std::string const& text, std::uint32_t& out) -> bool;
/// Reads a finite floating-point number; false if the text is anything else.
auto read_double(std::string const& text, double& out) -> bool;
/// Reads `on` or `off`; false if the text is anything else.
auto read_bool(std::string const& text, bool& out) -> bool;
/// Reads a text; false if it is empty.
auto read_text(std::string const& text, std::string& out) -> bool;
/// Reads an IPv4 address and port such as `127.0.0.1:8080`; false if the text
/// is anything else or the port is 0.
auto read_address(std::string const& text, std::string& out) -> bool;

/// Reads the keys of a section into a value. Adds unknown keys, wrong values
/// and missing required keys to `errors`.
template <class T>
auto read_section(ini_file const& file, ini_section const& section,
    std::vector<ini_key<T>> const& keys, T& out, std::vector<ini_error>& errors)
    -> void
{
    for (auto const& it : section.values)
    {
        auto const known = std::find_if(keys.begin(), keys.end(),
            [&](ini_key<T> const& k) { return k.name == it.key; });
        if (known == keys.end())
            errors.push_back(
                {file.path, it.line, section.name, it.key, "a known key", {}});
        else if (!known->read(it.value, out))
            errors.push_back({file.path, it.line, section.name, it.key,
                std::string(known->expected), it.value});
    }
    for (auto const& k : keys)
    {
        auto const there =
            std::any_of(section.values.begin(), section.values.end(),
                [&](ini_value const& it) { return it.key == k.name; });
        if (k.required && !there)
            errors.push_back({file.path, section.line, section.name,
                std::string(k.name), std::string(k.expected), {}});
    }
}

} // namespace knapweedstream

#endif
