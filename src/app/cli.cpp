#include "app/cli.hpp"

#include <iostream>

namespace knapweedstream
{

namespace
{

constexpr auto version = "0.1.0";

auto print_version(arguments const&) -> leaf::result<int>
{
    std::cout << "knapweedstream " << version << "\n";
    return 0;
}

auto print_help(arguments const&) -> leaf::result<int>
{
    std::cout << help_text();
    return 0;
}

} // namespace

auto subcommands() -> std::vector<subcommand> const&
{
    static auto const table = std::vector<subcommand>{
        {"run", "runs an instance: run SETTINGS.ini", run_instance},
        {"check", "validates files: check [--settings F] [--template F]...",
            check_files},
        {"query", "sends a query to an instance", send_query},
        {"book", "sends a booking to an instance", send_booking},
        {"status", "shows what is in force, or waits for a version",
            show_status},
        {"apply", "writes a template to the platform: apply TEMPLATE.ini",
            apply_template},
        {"report", "reports error-budget burn: report burn --to A...",
            show_report},
        {"version", "prints the version", print_version},
        {"help", "prints this text", print_help}};
    return table;
}

auto help_text() -> std::string
{
    auto text = std::string{"usage: knapweedstream SUBCOMMAND [OPTIONS]\n\n"};
    for (auto const& it : subcommands())
        text += "  " + std::string(it.name) +
                std::string(10 - std::string(it.name).size(), ' ') +
                it.summary + "\n";
    return text + "\nexit codes: 0 done, 1 failed, 2 bad usage or settings,\n"
                  "            3 conflict, 4 unreachable, 5 partial, unknown "
                  "or not in force\n";
}

} // namespace knapweedstream
