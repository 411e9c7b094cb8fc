/// What this process has used.
#ifndef KNAPWEEDSTREAM_ADAPTER_PROCESS_USAGE_HPP
#define KNAPWEEDSTREAM_ADAPTER_PROCESS_USAGE_HPP

#include <cstdint>

namespace knapweedstream
{

/// Processor time since the start, in seconds.
auto cpu_seconds() -> double;

/// Resident memory.
auto resident_bytes() -> std::uint64_t;

} // namespace knapweedstream

#endif
