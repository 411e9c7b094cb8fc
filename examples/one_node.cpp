/// Drives a node through its entry point: events in, commands out, in virtual
/// time.
#include "core/node.hpp"

#include <iostream>

namespace ks = knapweedstream;

namespace
{

auto const start = ks::time_point{ks::seconds{1}};

auto config() -> ks::customer_config
{
    auto s = ks::service_info{};
    s.name = "voorraad";
    s.targets = {{"leaf-a", "10.0.0.1:7000", "gent-dok", {0}, {}}};
    auto c = ks::customer_config{};
    c.name = "regie";
    c.version = {0, 1};
    c.services = {s};
    return c;
}

} // namespace

auto main() -> int
{
    auto node =
        ks::node{{{"entry-1", "10.0.1.1:8090", "gent-dok"}, 1, {}, {}}, start};
    node.handle(ks::tick{}, start);
    auto const opened = node.handle(ks::config_read{config()}, start);
    for (auto const& c : opened)
        if (auto const* it = std::get_if<ks::leaf_open>(&c))
        {
            std::cout << "opens a connection to " << it->address << "\n";
            node.handle(ks::leaf_opened{it->connection, {{7}, {3}, false}},
                start + ks::milliseconds{6});
        }
    auto const asked =
        node.handle(ks::caller_query{{1}, {"regie", "voorraad", "blankets"}},
            start + ks::milliseconds{7});
    for (auto const& c : asked)
        if (auto const* it = std::get_if<ks::leaf_search>(&c))
        {
            std::cout << "searches at index version " << it->at.index_version
                      << "\n";
            return 0;
        }
    return 1;
}
