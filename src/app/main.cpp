#include "app/cli.hpp"

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

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const args = ks::arguments(argv + 1, argv + argc);
    return ks::leaf::try_handle_all([&] { return ks::run_command_line(args); },
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
