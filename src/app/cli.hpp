/// Subcommands of the `knapweedstream` binary.
#ifndef KNAPWEEDSTREAM_APP_CLI_HPP
#define KNAPWEEDSTREAM_APP_CLI_HPP

#include "adapter/error.hpp"

#include <string>
#include <vector>

namespace knapweedstream
{

/// Arguments after the subcommand's name.
using arguments = std::vector<std::string>;

/// A subcommand. It prints its result to standard output and returns the exit
/// code.
struct subcommand
{
    char const* name;
    char const* summary;
    auto(*run)(arguments const& args) -> leaf::result<int>;
};

/// Table of all subcommands, in the order of the help text.
auto subcommands() -> std::vector<subcommand> const&;

/// Text of `help`.
auto help_text() -> std::string;

/// `run`: runs an instance until it stops.
auto run_instance(arguments const& args) -> leaf::result<int>;
/// `check`: validates settings files and customer templates.
auto check_files(arguments const& args) -> leaf::result<int>;
/// `query`: sends a query to an instance and prints the answer.
auto send_query(arguments const& args) -> leaf::result<int>;
/// `book`: sends a booking to an instance and prints the answer.
auto send_booking(arguments const& args) -> leaf::result<int>;
/// `status`: prints the status of instances, or waits until they have a given
/// configuration version in force.
auto show_status(arguments const& args) -> leaf::result<int>;
/// `report`: prints error-budget burn, summed over instances.
auto show_report(arguments const& args) -> leaf::result<int>;
/// `apply`: writes a customer template to the platform, unless the stored one
/// has changed in the meantime.
auto apply_template(arguments const& args) -> leaf::result<int>;

} // namespace knapweedstream

#endif
