/// Subcommands of the one binary.
#ifndef KNAPWEEDSTREAM_APP_CLI_HPP
#define KNAPWEEDSTREAM_APP_CLI_HPP

#include "adapter/error.hpp"

#include <string>
#include <vector>

namespace knapweedstream
{

/// Arguments after the subcommand's name.
using arguments = std::vector<std::string>;

/// A subcommand; prints its result to standard output.
struct subcommand
{
    char const* name;
    char const* summary;
    auto(*run)(arguments const& args) -> leaf::result<int>;
};

/// All subcommands.
auto subcommands() -> std::vector<subcommand> const&;

/// Text of `help`.
auto help_text() -> std::string;

/// `run`: an instance until it has left.
auto run_instance(arguments const& args) -> leaf::result<int>;
/// `check`: settings and templates.
auto check_files(arguments const& args) -> leaf::result<int>;
/// `query`: a query to an instance.
auto send_query(arguments const& args) -> leaf::result<int>;
/// `book`: a booking to an instance.
auto send_booking(arguments const& args) -> leaf::result<int>;
/// `status`: what is in force, or waiting for it.
auto show_status(arguments const& args) -> leaf::result<int>;
/// `report`: burn of error budgets.
auto show_report(arguments const& args) -> leaf::result<int>;
/// `apply`: a conditional update of a template.
auto apply_template(arguments const& args) -> leaf::result<int>;

} // namespace knapweedstream

#endif
