/// Options of a subcommand by Boost.Program_options.
#ifndef KNAPWEEDSTREAM_APP_CLI_OPTIONS_HPP
#define KNAPWEEDSTREAM_APP_CLI_OPTIONS_HPP

#include "app/cli.hpp"

#include <boost/program_options.hpp>

namespace knapweedstream
{

namespace po = boost::program_options;

/// Parses the arguments of a subcommand.
///
/// @param[in] positional Name of the option that takes bare arguments.
/// @returns The options, or `usage_error` with the list of them.
auto parse_options(arguments const& args, char const* name,
    po::options_description const& options, char const* positional = nullptr)
    -> leaf::result<po::variables_map>;

/// Value of a text option; empty if it is not given.
auto text_option(po::variables_map const& v, char const* name) -> std::string;

} // namespace knapweedstream

#endif
