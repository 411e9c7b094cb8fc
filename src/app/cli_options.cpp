#include "app/cli_options.hpp"

#include <sstream>

namespace knapweedstream
{

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
    catch (po::error const& e)
    {
        auto text = std::ostringstream{};
        text << "knapweedstream " << name << " (" << e.what() << ")\n"
             << options;
        return leaf::new_error(usage_error{text.str()});
    }
    return v;
}

auto text_option(po::variables_map const& v, char const* name) -> std::string
{
    return v.count(name) == 0 ? std::string{} : v[name].as<std::string>();
}

} // namespace knapweedstream
