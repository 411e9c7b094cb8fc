#include "core/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <string_view>

namespace knapweedstream
{

namespace
{

struct ranked
{
    std::uint64_t score = 0;
    rendezvous_node node;
};

auto score(std::uint64_t key, instance_id it) -> std::uint64_t
{
    auto const bytes = std::bit_cast<std::array<char, 8>>(it.value);
    return hash_name({bytes.data(), bytes.size()}, key);
}

auto has_zone(std::span<ranked const> chosen, zone_id zone) -> bool
{
    return std::any_of(chosen.begin(), chosen.end(),
        [&](ranked const& it) { return it.node.zone == zone; });
}

} // namespace

auto rendezvous(std::uint64_t key, std::span<rendezvous_node const> nodes,
    std::size_t n) -> std::vector<instance_id>
{
    auto all = std::vector<ranked>{};
    all.reserve(nodes.size());
    for (auto const& it : nodes)
        all.push_back({score(key, it.instance), it});
    std::sort(all.begin(), all.end(),
        [](ranked const& a, ranked const& b)
        {
            return a.score != b.score ? a.score > b.score
                                      : a.node.instance < b.node.instance;
        });
    auto chosen = std::vector<ranked>{};
    auto rest = std::vector<ranked>{};
    for (auto const& it : all)
        (has_zone(chosen, it.node.zone) ? rest : chosen).push_back(it);
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    auto result = std::vector<instance_id>{};
    for (std::size_t i = 0; i < std::min(n, chosen.size()); ++i)
        result.push_back(chosen[i].node.instance);
    return result;
}

} // namespace knapweedstream
