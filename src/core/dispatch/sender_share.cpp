#include "core/dispatch/sender_share.hpp"

#include <algorithm>
#include <limits>

namespace knapweedstream::dispatch
{

namespace
{

/// Rank of this instance among those that may send to a target that takes
/// little: instances in the target's region come first.
auto sender_rank_of(dispatch_state const& s, target_entry const& t)
    -> std::size_t
{
    return rank_of_self(s,
        [&](instance_record const& it) {
            return std::pair{
                it.region != t.region, hash_name(it.name, t.id.value)};
        });
}

} // namespace

auto rank_for_target(dispatch_state const& s, target_entry const& t)
    -> sender_rank
{
    return {sender_rank_of(s, t), std::max<std::size_t>(1, s.instances.size())};
}

auto share_of_limit(dispatch_state const& s, target_entry const& t) -> double
{
    auto const& limit = t.notices.limit_per_s;
    return limit ? share_of_limit(*limit, rank_for_target(s, t))
                 : std::numeric_limits<double>::max();
}

auto warmup_allows(dispatch_state& s, target_entry& t, time_point now) -> bool
{
    auto const rate = s.services.at(t.service).policy.cold_requests_per_s;
    if (now >= t.cold_until || rate <= 0)
        return true;
    t.warmup =
        with_refill(t.warmup, s.init.bounds, rate, sender_rank_of(s, t), now);
    return may_send(t.warmup);
}

auto notices_allow(dispatch_state& s, target_entry& t, time_point now) -> bool
{
    if (is_closed(t.notices, now))
        return false;
    if (!t.notices.limit_per_s)
        return true;
    t.notices = refilled(t.notices, rank_for_target(s, t), now);
    return may_send(t.notices);
}

} // namespace knapweedstream::dispatch
