/// Time types of the decision logic, which takes the time as an argument and
/// never reads a clock.
#ifndef KNAPWEEDSTREAM_TIME_HPP
#define KNAPWEEDSTREAM_TIME_HPP

#include <chrono>

namespace knapweedstream
{

/// Clock type of all time points, in microseconds. It has no `now`; adapters
/// supply the time.
struct node_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

using time_point = node_clock::time_point;
using duration = node_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Multiplies a duration by a factor, truncating to whole microseconds.
inline auto scaled(duration d, double factor) -> duration
{
    return duration{
        static_cast<duration::rep>(static_cast<double>(d.count()) * factor)};
}

} // namespace knapweedstream

#endif
