/// Errors of the adapters, one type each, reported through Boost.LEAF.
#ifndef KNAPWEEDSTREAM_ADAPTER_ERROR_HPP
#define KNAPWEEDSTREAM_ADAPTER_ERROR_HPP

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

namespace leaf = boost::leaf;

/// One error in an INI file.
struct ini_error
{
    std::string file;
    std::uint32_t line = 0; ///< 0 if no line of the file is at fault.
    std::string section;
    std::string key;
    std::string expected; ///< What a correct file would hold.
    std::string value =
        {}; ///< What the file holds; empty if the key is missing.
    auto operator<=>(ini_error const&) const = default;
};

/// All errors in an INI file.
struct ini_errors
{
    std::vector<ini_error> list;
    auto operator<=>(ini_errors const&) const = default;
};

/// A file could not be opened or read.
struct file_error
{
    std::string path;
    auto operator<=>(file_error const&) const = default;
};

/// Listening on an address failed.
struct listen_error
{
    std::string address;
    std::string used_for; ///< Purpose, such as `callers`.
    auto operator<=>(listen_error const&) const = default;
};

/// An address is not an IPv4 address and a port.
struct address_error
{
    std::string address;
    auto operator<=>(address_error const&) const = default;
};

/// Received or stored data could not be decoded.
struct decode_error
{
    std::string what; ///< What was being decoded.
    auto operator<=>(decode_error const&) const = default;
};

/// An HTTP call got no response.
struct http_error
{
    std::string address;
    auto operator<=>(http_error const&) const = default;
};

/// An HTTP response had an unexpected status.
struct status_error
{
    std::uint32_t status = 0;
    std::string body;
    auto operator<=>(status_error const&) const = default;
};

/// An object of the platform has another version than the write requires.
struct conflict_error
{
    std::uint64_t version = 0; ///< Version in the platform.
    std::string value;         ///< Value in the platform.
    auto operator<=>(conflict_error const&) const = default;
};

/// The command line is not valid.
struct usage_error
{
    std::string usage; ///< Correct usage, shown to the user.
    auto operator<=>(usage_error const&) const = default;
};

/// Any error of the adapters.
using failure =
    std::variant<ini_errors, file_error, listen_error, address_error,
        decode_error, http_error, status_error, conflict_error, usage_error>;

/// Error message for the command line and the log. Several errors in an INI
/// file give one line each.
auto describe(failure const& it) -> std::string;

/// Exit status of the process after an error: 2 for usage, settings or an
/// address, 3 for a conflict, 4 for an HTTP call without response, 1 for any
/// other.
auto exit_code(failure const& it) -> int;

} // namespace knapweedstream

#endif
