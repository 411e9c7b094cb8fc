/// Number of instances among which limits of the whole fleet are divided.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_FLEET_COUNT_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_FLEET_COUNT_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstddef>

namespace knapweedstream::dispatch
{

/// Instances as counted from lists. A list that holds more counts at once; one
/// that holds fewer only after a while, since an instance that has left the
/// list may still send requests or come back.
struct fleet_count
{
    std::size_t divisor = 0; ///< To divide by; 0: no list was read yet.
    /// Since when lists have held fewer; `max()`: the last one did not.
    time_point fewer_since = time_point::max();
    std::size_t most_since = 0; ///< Most that a list has held since then.

    auto operator<=>(fleet_count const&) const = default;
};

/// The count after a list that holds `listed` instances, this one included.
///
/// @param[in] hold How long lists must hold fewer until the count falls.
auto with_listed(fleet_count const& c, std::size_t listed, duration hold,
    time_point now) -> fleet_count;

} // namespace knapweedstream::dispatch

#endif
