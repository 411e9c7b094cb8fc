/// Open-loop load generator: latency is measured from the planned send time.
#ifndef KNAPWEEDSTREAM_STANDIN_LOAD_HPP
#define KNAPWEEDSTREAM_STANDIN_LOAD_HPP

#include <knapweedstream/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

/// Settings of the load.
struct load_settings
{
    std::vector<std::string> to; ///< Addresses of instances.
    std::string customer;
    std::string service;
    double rate_per_s = 100;
    double seconds = 5;
    double warmup_s = 1; ///< Load before counting starts.
    std::uint32_t deadline_ms = 200;
    std::uint32_t distinct = 100; ///< Distinct query texts.
    std::uint64_t seed = 1;
    bool as_json = false;
};

/// Sends the load and prints the results.
///
/// @returns Exit code: 1 if an answer mixed snapshots, otherwise 0.
auto run_load(load_settings const& settings) -> int;

} // namespace standin

#endif
