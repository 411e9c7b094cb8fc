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

auto run_instance(arguments const& args) -> leaf::result<int>;
auto check_files(arguments const& args) -> leaf::result<int>;
auto send_query(arguments const& args) -> leaf::result<int>;
auto send_booking(arguments const& args) -> leaf::result<int>;
auto show_status(arguments const& args) -> leaf::result<int>;
auto show_report(arguments const& args) -> leaf::result<int>;
auto apply_template(arguments const& args) -> leaf::result<int>;

} // namespace knapweedstream

#endif
