/// Samples in the Prometheus text format, and a latency histogram.
#ifndef KNAPWEEDSTREAM_ADAPTER_METRICS_TEXT_HPP
#define KNAPWEEDSTREAM_ADAPTER_METRICS_TEXT_HPP

#include <array>
#include <cstdint>
#include <string>

namespace knapweedstream
{

/// A line with one sample.
///
/// @param[in] name May include labels; the prefix `knapweedstream_` is added.
auto sample_text(std::string const& name, std::string const& value)
    -> std::string;

/// The type line and the sample of a counter; the prefix `knapweedstream_` is
/// added to the name.
auto counter_text(char const* name, std::uint64_t value) -> std::string;

/// The type line and the sample of a gauge; the prefix `knapweedstream_` is
/// added to the name.
auto gauge_text(char const* name, std::uint64_t value) -> std::string;

/// Upper bounds of the latency histogram's buckets, in milliseconds. A further
/// bucket has no upper bound.
constexpr auto latency_bounds_ms = std::array{
    5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 200.0, 300.0, 600.0, 1'200.0, 3'000.0};

/// Histogram of latencies, with the buckets of `latency_bounds_ms`.
class latency_histogram
{
public:
    /// Counts a latency, in milliseconds.
    auto add(double ms) -> void;

    /// Samples of the histogram with cumulative buckets.
    ///
    /// @param[in] labels Added to each sample, such as `route="a"`.
    /// Must not be empty.
    auto text(std::string const& name, std::string const& labels) const
        -> std::string;

private:
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> counts_{};
    double sum_ms_ = 0;
};

} // namespace knapweedstream

#endif
