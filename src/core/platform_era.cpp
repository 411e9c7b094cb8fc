#include "core/platform_era.hpp"

#include "core/booking_commit.hpp"
#include "core/rollout_driver.hpp"

#include <utility>

namespace knapweedstream
{

auto observe_platform_era(
    node_state& s, std::uint64_t era, time_point now, commands& out) -> bool
{
    if (era <= s.platform_era)
        return false;
    auto const before = std::exchange(s.platform_era, era);
    reload_rollouts(s);
    reload_buckets(s, now);
    if (before == 0)
        return true;
    ++s.stats.platform_restores;
    out.push_back(report_fact{platform_restored{before, era}});
    return true;
}

} // namespace knapweedstream
