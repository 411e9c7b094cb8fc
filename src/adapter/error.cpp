#include "adapter/error.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream
{

namespace
{

auto describe_ini(ini_errors const& it) -> std::string
{
    auto text = std::string{};
    for (auto const& e : it.list)
    {
        text += text.empty() ? "" : "\n";
        text += e.file;
        if (e.line > 0)
            text += ":" + std::to_string(e.line);
        text += ": [" + e.section + "]";
        text += e.key.empty() ? "" : " " + e.key;
        text += ": expected " + e.expected;
        text += e.value.empty() ? "" : ", found \"" + e.value + "\"";
    }
    return text;
}

} // namespace

auto describe(failure const& it) -> std::string
{
    return std::visit(
        overloaded{[](ini_errors const& e) { return describe_ini(e); },
            [](file_error const& e) { return "cannot open file " + e.path; },
            [](listen_error const& e)
            {
                return "cannot listen on " + e.address + " for " + e.used_for +
                       ": the port may be in use";
            },
            [](address_error const& e)
            { return "not an IPv4 address and port: " + e.address; },
            [](decode_error const& e) { return "cannot decode " + e.what; },
            [](http_error const& e)
            { return "no HTTP response from " + e.address; },
            [](status_error const& e) {
                return "HTTP status " + std::to_string(e.status) + ": " +
                       e.body;
            },
            [](conflict_error const& e)
            {
                return "version conflict: the platform has version " +
                       std::to_string(e.version) + ":\n" + e.value;
            },
            [](usage_error const& e)
            {
                return "usage: " + e.usage;
            }},
        it);
}

auto exit_code(failure const& it) -> int
{
    return std::visit(overloaded{[](ini_errors const&) { return 2; },
                          [](usage_error const&) { return 2; },
                          [](address_error const&) { return 2; },
                          [](conflict_error const&) { return 3; },
                          [](http_error const&) { return 4; },
                          [](auto const&)
                          {
                              return 1;
                          }},
        it);
}

} // namespace knapweedstream
