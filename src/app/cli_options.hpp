/// Parsing of a subcommand's options with Boost.Program_options.
#ifndef KNAPWEEDSTREAM_APP_CLI_OPTIONS_HPP
#define KNAPWEEDSTREAM_APP_CLI_OPTIONS_HPP

#include "adapter/error.hpp"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace knapweedstream
{

namespace po = boost::program_options;

/// Words of a command line.
using arguments = std::vector<std::string>;

/// Parses the arguments of a subcommand.
///
/// @param[in] name Name of the subcommand, for the error text.
/// @param[in] positional Name of the option that takes positional arguments;
///     null if there is none.
/// @returns The parsed options, or `usage_error`, which names the wrong option
///     and the nearest one that exists.
auto parse_options(arguments const& args, char const* name,
    po::options_description const& options, char const* positional = nullptr)
    -> leaf::result<po::variables_map>;

/// Value of a text option; empty if it is not given.
auto text_option(po::variables_map const& v, char const* name) -> std::string;

/// The name that is most like a mistyped one; empty if none is like it.
auto nearest_name(std::string const& mistyped,
    std::vector<std::string> const& names) -> std::string;

} // namespace knapweedstream

#endif
