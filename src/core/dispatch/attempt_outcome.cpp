#include "core/dispatch/attempt_outcome.hpp"

#include "core/dispatch/pool.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream::dispatch
{

namespace
{

/// True if a connection that has carried no reply was reset as early as a
/// target with too many connections resets new ones.
auto is_early_reset(target_entry const& t, link const& l,
    connection_closed const& e, dispatch_limits const& limits, time_point now)
    -> bool
{
    return !l.replied && e.how == connection_end::reset &&
           now - l.opened <= time_to_settle(t, limits);
}

} // namespace

auto outcome_of_reply(target_reply const& r) -> attempt_outcome
{
    return std::visit(
        overloaded{[](reply_success const& it) -> attempt_outcome {
                       return {attempt_end::success, true, it.message.status};
                   },
            [](reply_failure const& it) -> attempt_outcome {
                return {attempt_end::failure, true, it.message.status};
            },
            [](reply_overloaded const&) -> attempt_outcome {
                return {attempt_end::overloaded, false, 0};
            },
            [](reply_wrong_target const&) -> attempt_outcome {
                return {attempt_end::wrong_target, false, 0};
            },
            [](reply_unusable const&) -> attempt_outcome
            {
                return {attempt_end::unusable, true, 0};
            }},
        r);
}

auto outcome_of_loss(dispatch_state const& s, link const& l,
    connection_closed const& e, time_point now) -> attempt_outcome
{
    if (e.unsent)
        return {attempt_end::unsent, false, 0};
    auto const& t = s.targets.at(l.target);
    if (is_early_reset(t, l, e, s.init.limits, now))
        return {attempt_end::turned_away, true, 0};
    return {attempt_end::lost, true, 0};
}

} // namespace knapweedstream::dispatch
