#include "core/dispatch/attempt_outcome.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream::dispatch
{

namespace
{

/// True if a connection that has carried no reply was reset sooner than a reply
/// could come. This shows that the target had more connections than it accepts
/// and did not read the request.
auto was_reset_unread(dispatch_state const& s, attempt const& a, link const& l,
    connection_closed const& e, time_point now) -> bool
{
    auto const r = s.requests.find(a.part.request);
    if (l.replied || e.how != connection_end::reset || r == s.requests.end())
        return false;
    auto const& t = s.targets.at(l.target);
    auto const round_trip =
        t.connect_time + duration{s.init.limits.turned_away_slack};
    auto const known = s.latencies.find(r->second.value.matched_route->name);
    auto const sooner =
        known == s.latencies.end()
            ? round_trip
            : earliest_latency(
                  known->second.at[static_cast<std::size_t>(t.distance)],
                  round_trip);
    return now - a.sent_at < sooner;
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

auto outcome_of_loss(dispatch_state const& s, attempt const& a, link const& l,
    connection_closed const& e, time_point now) -> attempt_outcome
{
    if (e.unsent)
        return {attempt_end::unsent, false, 0};
    auto const r = s.requests.find(a.part.request);
    auto const idempotent =
        r != s.requests.end() && r->second.value.matched_route->delivery ==
                                     delivery_semantics::idempotent;
    if (idempotent && was_reset_unread(s, a, l, e, now))
        return {attempt_end::turned_away, false, 0};
    return {attempt_end::lost, true, 0};
}

} // namespace knapweedstream::dispatch
