/// Pieces of the Prometheus text format, and a latency histogram.
#ifndef KNAPWEEDSTREAM_ADAPTER_METRICS_TEXT_HPP
#define KNAPWEEDSTREAM_ADAPTER_METRICS_TEXT_HPP

#include <array>
#include <cstdint>
#include <string>

namespace knapweedstream
{

/// One line; the product's prefix is added to the name.
auto sample_text(std::string const& name, std::string const& value)
    -> std::string;

/// A counter with its type.
auto counter_text(char const* name, std::uint64_t value) -> std::string;

/// A gauge with its type.
auto gauge_text(char const* name, std::uint64_t value) -> std::string;

/// Upper bounds of a latency histogram's buckets, milliseconds.
constexpr auto latency_bounds_ms = std::array{
    5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 200.0, 300.0, 600.0, 1'200.0, 3'000.0};

/// Counts of latencies by bucket.
class latency_histogram
{
public:
    auto add(double ms) -> void;

    /// @param[in] labels Added to each sample, as `route="a"`.
    auto text(std::string const& name, std::string const& labels) const
        -> std::string;

private:
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> counts_{};
    double sum_ms_ = 0;
};

} // namespace knapweedstream

#endif
