#include "adapter/metrics_text.hpp"

#include <algorithm>
#include <cstdio>

namespace knapweedstream
{

namespace
{

constexpr auto prefix = "knapweedstream_";

auto bound_text(double ms) -> std::string
{
    char buf[32];
    auto const n = std::snprintf(buf, sizeof buf, "%g", ms);
    return {buf, static_cast<std::size_t>(n)};
}

} // namespace

auto sample_text(std::string const& name, std::string const& value)
    -> std::string
{
    return prefix + name + " " + value + "\n";
}

auto counter_text(char const* name, std::uint64_t value) -> std::string
{
    return "# TYPE " + (prefix + std::string{name}) + " counter\n" +
           sample_text(name, std::to_string(value));
}

auto gauge_text(char const* name, std::uint64_t value) -> std::string
{
    return "# TYPE " + (prefix + std::string{name}) + " gauge\n" +
           sample_text(name, std::to_string(value));
}

auto latency_histogram::add(double ms) -> void
{
    auto const it = std::lower_bound(
        latency_bounds_ms.begin(), latency_bounds_ms.end(), ms);
    ++counts_[static_cast<std::size_t>(it - latency_bounds_ms.begin())];
    sum_ms_ += ms;
}

auto latency_histogram::text(
    std::string const& name, std::string const& labels) const -> std::string
{
    auto out = std::string{};
    auto total = std::uint64_t{0};
    for (std::size_t i = 0; i < counts_.size(); ++i)
    {
        total += counts_[i];
        auto const bound = i < latency_bounds_ms.size()
                               ? bound_text(latency_bounds_ms[i])
                               : std::string{"+Inf"};
        out +=
            sample_text(name + "_bucket{" + labels + ",le=\"" + bound + "\"}",
                std::to_string(total));
    }
    return out +
           sample_text(name + "_sum{" + labels + "}", std::to_string(sum_ms_)) +
           sample_text(name + "_count{" + labels + "}", std::to_string(total));
}

} // namespace knapweedstream
