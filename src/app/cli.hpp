/// Subcommands of the `knapweedstream` binary.
#ifndef KNAPWEEDSTREAM_APP_CLI_HPP
#define KNAPWEEDSTREAM_APP_CLI_HPP

#include "app/cli_options.hpp"

#include <string>
#include <vector>

namespace knapweedstream
{

/// A subcommand. `run` prints its result to standard output and returns the
/// exit code.
struct subcommand
{
    char const* name;
    char const* summary;
    char const* usage;      ///< Arguments, as after `usage: knapweedstream`.
    char const* example;    ///< Arguments of an example call.
    char const* positional; ///< Option of positional arguments; null: none.
    auto(*options)() -> po::options_description;
    auto(*run)(po::variables_map const& v) -> leaf::result<int>;
};

/// Table of all subcommands, in the order of the help text.
auto subcommands() -> std::vector<subcommand> const&;

/// Carries out a command line; `args` are the words after the program's name.
///
/// @returns The exit code, or the error that ended it.
auto run_command_line(arguments const& args) -> leaf::result<int>;

/// Text of `--help`.
auto help_text() -> std::string;
/// Text of a subcommand's `--help`: usage, options with defaults, an example.
auto help_text(subcommand const& it) -> std::string;
/// Text of `--version`: this build and the libraries that it runs with.
auto version_text() -> std::string;
/// Script that completes subcommands and options in bash.
auto completion_text() -> std::string;

auto run_options() -> po::options_description;
/// `run`: runs an instance until it stops.
auto run_instance(po::variables_map const& v) -> leaf::result<int>;

auto check_options() -> po::options_description;
/// `check`: validates settings files and customer templates.
auto check_files(po::variables_map const& v) -> leaf::result<int>;

auto query_options() -> po::options_description;
/// `query`: sends a query to an instance and prints the answer.
auto send_query(po::variables_map const& v) -> leaf::result<int>;

auto book_options() -> po::options_description;
/// `book`: sends a booking to an instance and prints the answer.
auto send_booking(po::variables_map const& v) -> leaf::result<int>;

auto status_options() -> po::options_description;
/// `status`: prints the status of instances, or waits until they have a given
/// configuration version in force.
auto show_status(po::variables_map const& v) -> leaf::result<int>;

auto report_options() -> po::options_description;
/// `report`: prints error-budget burn, summed over instances.
auto show_report(po::variables_map const& v) -> leaf::result<int>;

auto apply_options() -> po::options_description;
/// `apply`: writes a customer template to the platform, unless the stored one
/// has changed in the meantime.
auto apply_template(po::variables_map const& v) -> leaf::result<int>;

} // namespace knapweedstream

#endif
