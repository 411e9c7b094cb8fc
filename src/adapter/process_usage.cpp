#include "adapter/process_usage.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace knapweedstream
{

auto cpu_seconds() -> double
{
    auto u = rusage{};
    getrusage(RUSAGE_SELF, &u);
    auto const seconds_of = [](timeval const& t)
    {
        return static_cast<double>(t.tv_sec) +
               1e-6 * static_cast<double>(t.tv_usec);
    };
    return seconds_of(u.ru_utime) + seconds_of(u.ru_stime);
}

auto resident_bytes() -> std::uint64_t
{
    auto in = std::ifstream{"/proc/self/statm"};
    auto total = std::uint64_t{};
    auto resident = std::uint64_t{};
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace knapweedstream
