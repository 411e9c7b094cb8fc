/// Failures of the adapters, one type each, carried by Boost.LEAF.
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

/// One thing wrong in an INI file.
struct ini_error
{
    std::string file;
    std::uint32_t line = 0; ///< 0 if the key is missing.
    std::string section;
    std::string key;
    std::string expected;
    auto operator<=>(ini_error const&) const = default;
};

/// All that is wrong in an INI file.
struct ini_errors
{
    std::vector<ini_error> list;
    auto operator<=>(ini_errors const&) const = default;
};

/// A file could not be read or written.
struct file_error
{
    std::string path;
    auto operator<=>(file_error const&) const = default;
};

/// An address could not be listened on.
struct listen_error
{
    std::string address;
    std::string used_for;
    auto operator<=>(listen_error const&) const = default;
};

/// An address is not an IP number and a port.
struct address_error
{
    std::string address;
    auto operator<=>(address_error const&) const = default;
};

/// Bytes from outside could not be decoded.
struct decode_error
{
    std::string what; ///< What was being decoded.
    auto operator<=>(decode_error const&) const = default;
};

/// No answer came over HTTP.
struct http_error
{
    std::string address;
    auto operator<=>(http_error const&) const = default;
};

/// An HTTP answer had a status that was not wanted.
struct status_error
{
    std::uint32_t status = 0;
    std::string body;
    auto operator<=>(status_error const&) const = default;
};

/// An object was changed by somebody else.
struct conflict_error
{
    std::uint64_t version = 0; ///< Version that won.
    std::string value;         ///< Value that won.
    auto operator<=>(conflict_error const&) const = default;
};

/// The command line is not understood.
struct usage_error
{
    std::string usage;
    auto operator<=>(usage_error const&) const = default;
};

using failure =
    std::variant<ini_errors, file_error, listen_error, address_error,
        decode_error, http_error, status_error, conflict_error, usage_error>;

/// Text of a failure, for the command line and the log.
auto describe(failure const& it) -> std::string;

/// Exit code of a failure: 2 usage or settings, 3 conflict, 4 unreachable,
/// 1 any other.
auto exit_code(failure const& it) -> int;

} // namespace knapweedstream

#endif
