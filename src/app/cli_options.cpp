#include "app/cli_options.hpp"

#include <algorithm>
#include <numeric>

namespace knapweedstream
{

namespace
{

/// Number of letters to insert, delete or replace that turns `a` into `b`
/// (Levenshtein distance).
auto edit_distance(std::string const& a, std::string const& b) -> std::size_t
{
    auto row = std::vector<std::size_t>(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j)
        {
            auto const replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

auto option_names(po::options_description const& options)
    -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& it : options.options())
        names.push_back("--" + it->long_name());
    return names;
}

auto usage_of(char const* name, std::string const& problem) -> usage_error
{
    return usage_error{std::string{name} + ": " + problem +
                       "\nsee knapweedstream " + name + " --help"};
}

} // namespace

auto nearest_name(std::string const& mistyped,
    std::vector<std::string> const& names) -> std::string
{
    auto best = std::string{};
    auto least = mistyped.size() / 2 + 1; // More changes make another word.
    for (auto const& it : names)
        if (auto const n = edit_distance(mistyped, it); n < least)
        {
            least = n;
            best = it;
        }
    return best;
}

auto parse_options(arguments const& args, char const* name,
    po::options_description const& options, char const* positional)
    -> leaf::result<po::variables_map>
{
    auto v = po::variables_map{};
    auto positionals = po::positional_options_description{};
    if (positional != nullptr)
        positionals.add(positional, -1);
    try
    {
        po::store(po::command_line_parser(args)
                      .options(options)
                      .positional(positionals)
                      .run(),
            v);
        po::notify(v);
    }
    catch (po::unknown_option const& e)
    {
        auto const wrong = e.get_option_name();
        auto const near = nearest_name(wrong, option_names(options));
        return leaf::new_error(usage_of(
            name, "unknown option " + wrong +
                      (near.empty() ? "" : ", did you mean " + near + "?")));
    }
    catch (po::error const& e)
    {
        return leaf::new_error(usage_of(name, e.what()));
    }
    return v;
}

auto text_option(po::variables_map const& v, char const* name) -> std::string
{
    return v.count(name) == 0 ? std::string{} : v[name].as<std::string>();
}

} // namespace knapweedstream
