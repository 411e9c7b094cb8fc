#include "app/cli.hpp"

#include <algorithm>
#include <iostream>

namespace ks = knapweedstream;

namespace
{

/// Prints a failure to standard error and returns its exit code.
auto print_failure(ks::failure const& it) -> int
{
    std::cerr << "knapweedstream: " << ks::describe(it) << "\n";
    return ks::exit_code(it);
}

auto run_subcommand(std::string const& name, ks::arguments const& args)
    -> ks::leaf::result<int>
{
    auto const& table = ks::subcommands();
    auto const it = std::find_if(table.begin(), table.end(),
        [&](ks::subcommand const& s) { return name == s.name; });
    if (it == table.end())
        return ks::leaf::new_error(ks::usage_error{ks::help_text()});
    return it->run(args);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const all = ks::arguments(argv + 1, argv + argc);
    auto const name = all.empty() ? std::string{"help"} : all.front();
    auto const args = all.empty() ? ks::arguments{}
                                  : ks::arguments(all.begin() + 1, all.end());
    return ks::leaf::try_handle_all([&] { return run_subcommand(name, args); },
        [](ks::ini_errors const& e) { return print_failure(e); },
        [](ks::file_error const& e) { return print_failure(e); },
        [](ks::listen_error const& e) { return print_failure(e); },
        [](ks::address_error const& e) { return print_failure(e); },
        [](ks::decode_error const& e) { return print_failure(e); },
        [](ks::http_error const& e) { return print_failure(e); },
        [](ks::status_error const& e) { return print_failure(e); },
        [](ks::conflict_error const& e) { return print_failure(e); },
        [](ks::usage_error const& e) { return print_failure(e); },
        [](std::exception const& e)
        {
            std::cerr << "knapweedstream: internal error: " << e.what() << "\n";
            return 1;
        },
        []
        {
            std::cerr << "knapweedstream: unknown error\n";
            return 1;
        });
}
