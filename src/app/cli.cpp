#include "app/cli.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace knapweedstream
{

namespace
{

constexpr auto usage_head = "usage: knapweedstream ";

auto asks_for_help(arguments const& args) -> bool
{
    return std::any_of(args.begin(), args.end(),
        [](auto const& it) { return it == "--help" || it == "-h"; });
}

auto no_options() -> po::options_description
{
    return po::options_description{"options"};
}

auto print_version(po::variables_map const&) -> leaf::result<int>
{
    std::cout << version_text();
    return 0;
}

auto print_help(po::variables_map const&) -> leaf::result<int>
{
    std::cout << help_text();
    return 0;
}

auto print_completion(po::variables_map const&) -> leaf::result<int>
{
    std::cout << completion_text();
    return 0;
}

auto unknown_subcommand(std::string const& name) -> usage_error
{
    auto names = std::vector<std::string>{};
    for (auto const& it : subcommands())
        names.emplace_back(it.name);
    auto const near = nearest_name(name, names);
    return usage_error{"unknown subcommand " + name +
                       (near.empty() ? "" : ", did you mean " + near + "?") +
                       "\nsee knapweedstream --help"};
}

} // namespace

auto subcommands() -> std::vector<subcommand> const&
{
    static auto const table = std::vector<subcommand>{
        {"run", "runs an instance", "run SETTINGS | run --settings SETTINGS",
            "run entry-1.ini", "settings", run_options, run_instance},
        {"check", "validates settings files and customer templates",
            "check [SETTINGS...] [--template F]...",
            "check entry-1.ini --template regie.ini", "settings", check_options,
            check_files},
        {"query", "sends a query to an instance",
            "query --to IP:PORT --customer C --service S TEXT",
            "query --to 10.0.0.1:8080 --customer regie --service voorraad "
            "blankets",
            "query", query_options, send_query},
        {"book", "sends a booking to an instance",
            "book --to IP:PORT --customer C --service S --key K ITEM",
            "book --to 10.0.0.1:8080 --customer regie --service bestel --key "
            "4711 cots",
            "item", book_options, send_booking},
        {"status", "shows what is in force, or waits for a version",
            "status IP:PORT... [--customer C --version N [--wait-ms MS]]",
            "status 10.0.0.1:8080 10.0.0.2:8080 --customer regie --version 3",
            "to", status_options, show_status},
        {"apply", "writes a customer template to the platform",
            "apply TEMPLATE --platform IP:PORT",
            "apply regie.ini --platform 10.0.0.9:8000", "template",
            apply_options, apply_template},
        {"report", "reports error-budget burn",
            "report burn --to IP:PORT... [--format text|json|html]",
            "report burn --to 10.0.0.1:8080 10.0.0.2:8080", "report",
            report_options, show_report},
        {"completion", "prints a completion script for bash", "completion",
            "completion >/etc/bash_completion.d/knapweedstream", nullptr,
            no_options, print_completion},
        {"version", "prints the versions of the build and its libraries",
            "version", "version", nullptr, no_options, print_version},
        {"help", "prints this text", "help", "help", nullptr, no_options,
            print_help}};
    return table;
}

auto run_command_line(arguments const& args) -> leaf::result<int>
{
    auto const name = args.empty() ? std::string{"help"} : args.front();
    if (name == "--help" || name == "-h")
        return print_help({});
    if (name == "--version")
        return print_version({});
    auto const& table = subcommands();
    auto const it = std::find_if(table.begin(), table.end(),
        [&](subcommand const& s) { return name == s.name; });
    if (it == table.end())
        return leaf::new_error(unknown_subcommand(name));
    auto const rest =
        args.empty() ? arguments{} : arguments(args.begin() + 1, args.end());
    if (asks_for_help(rest))
    {
        std::cout << help_text(*it);
        return 0;
    }
    BOOST_LEAF_AUTO(
        v, parse_options(rest, it->name, it->options(), it->positional));
    return it->run(v);
}

auto help_text() -> std::string
{
    constexpr auto column = std::size_t{12};
    auto text = std::string{usage_head} + "SUBCOMMAND [OPTIONS]\n\n";
    for (auto const& it : subcommands())
    {
        auto name = std::string{it.name};
        name.resize(std::max(column, name.size() + 1), ' ');
        text += "  " + name + it.summary + "\n";
    }
    return text +
           "\nknapweedstream SUBCOMMAND --help shows its options; --version "
           "the versions\n"
           "\nexit codes: 0 done, 1 failed, 2 bad usage or settings,\n"
           "            3 conflict, 4 unreachable, 5 partial, unknown "
           "or not in force\n";
}

auto help_text(subcommand const& it) -> std::string
{
    auto text = std::ostringstream{};
    text << usage_head << it.usage << "\n" << it.summary << "\n\n";
    text << it.options() << "  -h [ --help ]  prints this text\n";
    text << "\nexample: knapweedstream " << it.example << "\n";
    return text.str();
}

auto completion_text() -> std::string
{
    auto text = std::string{"_knapweedstream() {\n"
                            "  local words\n"
                            "  case ${COMP_WORDS[1]} in\n"};
    auto names = std::string{};
    for (auto const& it : subcommands())
    {
        names += names.empty() ? "" : " ";
        names += it.name;
        auto words = std::string{"--help"};
        auto const options = it.options();
        for (auto const& o : options.options())
            words += " --" + o->long_name();
        text += std::string{"  "} + it.name + ") words=\"" + words + "\" ;;\n";
    }
    return text +
           "  *) words= ;;\n  esac\n"
           "  [ \"$COMP_CWORD\" -gt 1 ] || words=\"" +
           names +
           " --help --version\"\n"
           "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- "
           "\"${COMP_WORDS[COMP_CWORD]}\")\n"
           "}\n"
           "complete -o default -F _knapweedstream knapweedstream\n";
}

} // namespace knapweedstream
