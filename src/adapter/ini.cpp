#include "adapter/ini.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace knapweedstream
{

namespace
{

/// The text without blanks, tabs and carriage returns at its ends.
auto trimmed(std::string const& text) -> std::string
{
    auto const from = text.find_first_not_of(" \t\r");
    if (from == std::string::npos)
        return {};
    auto const to = text.find_last_not_of(" \t\r");
    return text.substr(from, to - from + 1);
}

/// Line of a section, or of a key in it; 0 if not found. Needed because the
/// parser of Boost.PropertyTree keeps no lines.
auto find_line(std::string const& text, std::string const& section,
    std::string const& key) -> std::uint32_t
{
    auto in = std::istringstream{text};
    auto line = std::string{};
    auto inside = section.empty();
    for (std::uint32_t n = 1; std::getline(in, line); ++n)
    {
        auto const t = trimmed(line);
        if (!t.empty() && t.front() == '[')
        {
            inside = t == "[" + section + "]";
            if (inside && key.empty())
                return n;
            continue;
        }
        auto const equals = t.find('=');
        if (inside && equals != std::string::npos &&
            trimmed(t.substr(0, equals)) == key)
            return n;
    }
    return 0;
}

template <class T>
auto read_number(std::string const& text, T& out) -> bool
{
    auto const end = text.data() + text.size();
    auto const r = std::from_chars(text.data(), end, out);
    return r.ec == std::errc{} && r.ptr == end;
}

} // namespace

auto parse_ini(std::string const& path, std::string const& text)
    -> leaf::result<ini_file>
{
    namespace pt = boost::property_tree;
    auto tree = pt::ptree{};
    try
    {
        auto in = std::istringstream{text};
        pt::read_ini(in, tree);
    }
    catch (pt::ini_parser_error const& e)
    {
        auto const line = static_cast<std::uint32_t>(e.line());
        return leaf::new_error(ini_errors{
            {{path, line, "", "", "valid INI syntax: " + e.message()}}});
    }
    auto file = ini_file{path, {}};
    for (auto const& [name, section] : tree)
    {
        if (section.empty() && !section.data().empty())
            return leaf::new_error(ini_errors{{{path, find_line(text, "", name),
                "", name, "a section header before the first key"}}});
        auto it = ini_section{name, find_line(text, name, ""), {}};
        for (auto const& [key, value] : section)
            it.values.push_back(
                {key, value.data(), find_line(text, name, key)});
        file.sections.push_back(std::move(it));
    }
    return file;
}

auto read_file(std::string const& path) -> leaf::result<std::string>
{
    auto in = std::ifstream{path, std::ios::binary};
    auto const text = std::string{std::istreambuf_iterator<char>{in}, {}};
    if (!in.is_open() || in.bad())
        return leaf::new_error(file_error{path});
    return text;
}

auto read_u32(std::string const& text, std::uint32_t& out) -> bool
{
    return read_number(text, out);
}

auto read_u64(std::string const& text, std::uint64_t& out) -> bool
{
    return read_number(text, out);
}

auto read_positive(std::string const& text, std::uint32_t& out) -> bool
{
    return read_number(text, out) && out > 0;
}

auto read_double(std::string const& text, double& out) -> bool
{
    return read_number(text, out) && std::isfinite(out);
}

auto read_bool(std::string const& text, bool& out) -> bool
{
    out = text == "on";
    return text == "on" || text == "off";
}

auto read_text(std::string const& text, std::string& out) -> bool
{
    out = text;
    return !text.empty();
}

auto read_address(std::string const& text, std::string& out) -> bool
{
    out = text;
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    auto port = std::uint16_t{};
    auto addr = in_addr{};
    return read_number(text.substr(colon + 1), port) && port > 0 &&
           inet_pton(AF_INET, text.substr(0, colon).c_str(), &addr) == 1;
}

} // namespace knapweedstream
