/// Resource usage of this process.
#ifndef KNAPWEEDSTREAM_ADAPTER_PROCESS_USAGE_HPP
#define KNAPWEEDSTREAM_ADAPTER_PROCESS_USAGE_HPP

#include <cstdint>

namespace knapweedstream
{

/// User and system CPU time since the start, in seconds.
auto cpu_seconds() -> double;

/// Resident memory, in bytes.
auto resident_bytes() -> std::uint64_t;

} // namespace knapweedstream

#endif
