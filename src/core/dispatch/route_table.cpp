#include "core/dispatch/route_table.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <numeric>
#include <string>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto record_bytes = std::size_t{16};

auto path_of(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find_first_of("?#"));
}

} // namespace

auto find_route(routing_config const& config, std::string_view host,
    std::string_view target) -> route const*
{
    auto const path = path_of(target);
    auto const* best = static_cast<route const*>(nullptr);
    for (auto const& it : config.routes)
        if (it.host == host && path.starts_with(it.path_start) &&
            (best == nullptr || it.path_start.size() > best->path_start.size()))
            best = &it;
    return best;
}

auto services_of(route const& r) -> std::vector<std::string>
{
    return std::visit(
        overloaded{[](to_service const& it) -> std::vector<std::string>
            { return {it.service}; },
            [](to_split const& it)
            {
                auto names = std::vector<std::string>{};
                for (auto const& p : it.parts)
                    names.push_back(p.service);
                return names;
            },
            [](to_shards const& it)
            {
                return it.shards;
            }},
        r.to);
}

auto next_split_part(to_split const& split, std::vector<std::int64_t>& credits)
    -> std::size_t
{
    credits.resize(split.parts.size(), 0);
    auto total = std::int64_t{0};
    auto best = std::size_t{0};
    for (std::size_t i = 0; i < split.parts.size(); ++i)
    {
        credits[i] += split.parts[i].weight;
        total += split.parts[i].weight;
        if (credits[i] > credits[best])
            best = i;
    }
    if (!credits.empty())
        credits[best] -= total;
    return best;
}

auto merge_records(std::span<std::string_view const> parts, std::uint32_t top_k)
    -> std::string
{
    auto records = std::vector<std::string_view>{};
    for (auto const& it : parts)
        for (auto at = std::size_t{0}; at + record_bytes <= it.size();
             at += record_bytes)
            records.push_back(it.substr(at, record_bytes));
    auto const n = std::min<std::size_t>(top_k, records.size());
    auto const middle = records.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(records.begin(), middle, records.end(), std::greater<>{});
    auto merged = std::string{};
    merged.reserve(n * record_bytes);
    for (std::size_t i = 0; i < n; ++i)
        merged.append(records[i]);
    return merged;
}

} // namespace knapweedstream::dispatch
