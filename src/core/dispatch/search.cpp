#include "core/dispatch/search.hpp"

#include "core/dispatch/choice.hpp"
#include "core/dispatch/concurrency_limit.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/sender_share.hpp"

#include <algorithm>
#include <array>

namespace knapweedstream::dispatch
{

namespace
{

/// Assumed until one was observed.
constexpr auto default_connect_time = milliseconds{8};

/// Typical latency that is assumed until enough replies were observed.
auto default_latency(proximity p) -> duration
{
    switch (p)
    {
    case proximity::zone:
        return milliseconds{20};
    case proximity::region:
        return milliseconds{25};
    case proximity::far:
        return milliseconds{60};
    }
    return milliseconds{60};
}

auto candidate_of(dispatch_state& s, target_entry& t, part const& p,
    route const& r, time_point now) -> candidate
{
    auto const& limits = s.init.limits;
    auto const e = estimate_for(s, r, t.distance);
    auto c = candidate{};
    c.typical_latency = typical_latency(e, default_latency(t.distance));
    c.slowness = slowness_at(t.health, limits, now);
    c.failure_rate = failure_rate_at(t.health, limits, now);
    c.in_flight = t.health.in_flight;
    c.slots = t.info.slots;
    c.silence = silence(t.health, now);
    c.stall_after = hedge_delay_for(e, limits);
    c.penalty = t.distance == proximity::far ? duration{limits.far_penalty}
                                             : duration{0};
    c.idle = has_idle(s, t, p, r.delivery, now);
    c.may_open = may_open(s, t, now) || t.links == 0;
    c.connect_time = t.connect_time == duration{0}
                         ? duration{default_connect_time}
                         : t.connect_time;
    return c;
}

/// Which targets a search step admits. The steps are tried in turn, each admits
/// more targets than the one before, until a step finds one.
struct search_step
{
    bool suspended = false; ///< Also targets that are suspended.
    bool tried = false; ///< Also targets that were already tried for the part.
    /// Also targets that need a connection beyond this instance's share.
    bool over_share = false;
    bool over_limit = false; ///< Also targets that are at their stated limit.
};

constexpr auto search_steps = std::array{search_step{false, false, false},
    search_step{false, false, true}, search_step{true, false, true},
    search_step{true, true, true}};
/// Admits the targets that could take the part sooner or later.
constexpr auto any_time = search_step{true, true, true, true};

/// True if the target has a connection, or one may be opened for a request.
///
/// @param[in] over_share Also one beyond this instance's share.
auto can_connect(
    dispatch_state& s, target_entry& t, bool over_share, time_point now) -> bool
{
    return t.links > 0 || may_open(s, t, now) ||
           (over_share && now >= t.open_after);
}

/// True if a target's state allows choosing it before suspended ones. With
/// idempotent requests a suspended target is instead probed alongside another
/// one; an at-most-once request cannot go to two targets, so it may try one
/// whose suspension has run out.
auto may_be_first(target_health const& h, route const& r, time_point now)
    -> bool
{
    return std::holds_alternative<healthy>(h.state) ||
           (r.delivery == delivery_semantics::at_most_once &&
               admits_request(h, now));
}

auto matches_side(service_entry const& service, version_side side,
    target_entry const& t) -> bool
{
    return !service.shift || matches_side(*service.shift, side, t.info.version);
}

auto admits_target(
    dispatch_state const& s, target_entry const& t, time_point now) -> bool
{
    return admits_version(
        s.services.at(t.service).versions, t.info.version, now);
}

/// True if the target takes requests of this instance sooner or later.
auto has_share(dispatch_state const& s, target_entry const& t, time_point now)
    -> bool
{
    return !is_closed(t.notices, now) && share_of_limit(s, t) > 0;
}

auto is_eligible(dispatch_state& s, target_entry& t, part const& p,
    route const& r, search_step const& step, time_point now) -> bool
{
    return is_usable(t, now) && is_reachable(t, now) && is_allowed(t, r) &&
           admits_target(s, t, now) && (step.tried || !was_tried(p, t.id)) &&
           (step.suspended || may_be_first(t.health, r, now)) &&
           can_connect(s, t, step.over_share, now) &&
           warmup_allows(s, t, now) &&
           (notices_allow(s, t, now) ||
               (step.over_limit && has_share(s, t, now)));
}

/// Eligible targets with capacity of one side of a rollout, from the first
/// search step that finds any; of all versions if there is no rollout.
auto eligible_of_side(dispatch_state& s, service_entry const& service,
    part const& p, version_side side, route const& r, bool none_running,
    time_point now) -> std::vector<target_entry*>
{
    auto found = std::vector<target_entry*>{};
    for (auto const& step : search_steps)
    {
        if (step.tried && !none_running)
            break;
        for (auto const id : service.targets)
            if (auto& t = s.targets.at(id);
                has_capacity(t.concurrency, t.health.in_flight) &&
                matches_side(service, side, t) &&
                is_eligible(s, t, p, r, step, now))
                found.push_back(&t);
        if (!found.empty())
            break;
    }
    return found;
}

/// Eligible targets for a part. One that prefers the new version of a rollout
/// may go to any version if no target of the new one is eligible.
auto eligible_targets(dispatch_state& s, part const& p, route const& r,
    bool none_running, time_point now) -> std::vector<target_entry*>
{
    auto const it = s.services.find(p.service);
    if (it == s.services.end())
        return {};
    auto const& service = it->second;
    auto found = eligible_of_side(s, service, p, p.side, r, none_running, now);
    if (found.empty() && p.side == version_side::prefer_new)
        found = eligible_of_side(
            s, service, p, version_side::any, r, none_running, now);
    return found;
}

/// True if the condition holds for any target of a service.
template <class State, class Condition>
auto any_target(State& s, service_id service, Condition const& holds) -> bool
{
    auto const it = s.services.find(service);
    return it != s.services.end() &&
           std::any_of(it->second.targets.begin(), it->second.targets.end(),
               [&](target_id id) { return holds(s.targets.at(id)); });
}

/// True if a connection is being opened and has not taken unusually long.
auto is_about_to_open(target_entry const& t, time_point now) -> bool
{
    constexpr auto usual_times = 3; ///< Longer than this multiple is unusual.
    /// Limit if the usual time is unknown.
    constexpr auto unknown = duration{milliseconds{50}};
    auto const usual =
        t.connect_time == duration{0} ? unknown : usual_times * t.connect_time;
    return t.opening > 0 && now - t.last_open_started < usual;
}

/// Expected wait of a new part if all targets that could take it have stated a
/// limit, and this instance's shares are used up now; otherwise empty.
auto wait_at_limit(dispatch_state& s, part const& p, route const& r,
    std::size_t waiting, time_point now) -> std::optional<duration>
{
    auto rate = 0.0;
    for (auto const id : s.services.at(p.service).targets)
    {
        auto& t = s.targets.at(id);
        if (!is_eligible(s, t, p, r, any_time, now))
            continue;
        if (notices_allow(s, t, now))
            return std::nullopt;
        rate += share_of_limit(s, t);
    }
    if (rate <= 0)
        return std::nullopt;
    return wait_for(1.0 + static_cast<double>(waiting), rate);
}

} // namespace

auto end_of_pause(dispatch_state& s, part const& p, route const& r,
    time_point now) -> std::optional<time_point>
{
    auto const it = s.services.find(p.service);
    if (it == s.services.end())
        return std::nullopt;
    auto soonest = std::optional<time_point>{};
    for (auto const id : it->second.targets)
    {
        auto& t = s.targets.at(id);
        if (!is_usable(t, now) || !is_allowed(t, r) ||
            !is_version_allowed(s, p, t, now))
            continue;
        if (now >= t.notices.paused_until)
            return std::nullopt;
        soonest = std::min(
            soonest.value_or(time_point::max()), t.notices.paused_until);
    }
    return soonest;
}

auto next_allowance(dispatch_state& s, part const& p, route const& r,
    time_point now) -> std::optional<limit_wait>
{
    auto next = std::optional<limit_wait>{};
    auto const it = s.services.find(p.service);
    if (it == s.services.end())
        return next;
    auto const side =
        p.side == version_side::prefer_new ? version_side::any : p.side;
    for (auto const id : it->second.targets)
    {
        auto& t = s.targets.at(id);
        if (!t.notices.limit_per_s || !matches_side(it->second, side, t) ||
            !is_eligible(s, t, p, r, any_time, now))
            continue;
        auto const wait = wait_for_allowance(t.notices, rank_for_target(s, t));
        if (wait > duration{0} && (!next || now + wait < next->at))
            next = limit_wait{id, now + wait};
    }
    return next;
}

auto is_allowed(target_entry const& t, route const& r) -> bool
{
    return r.regions.empty() || std::find(r.regions.begin(), r.regions.end(),
                                    t.region) != r.regions.end();
}

auto estimate_for(dispatch_state const& s, route const& r, proximity p)
    -> latency_estimate
{
    auto const it = s.latencies.find(r.name);
    return it == s.latencies.end() ? latency_estimate{}
                                   : it->second.at[static_cast<std::size_t>(p)];
}

auto choose_target(dispatch_state& s, part const& p, open_request const& r,
    bool none_running, time_point now) -> target_entry*
{
    auto const targets =
        eligible_targets(s, p, *r.matched_route, none_running, now);
    auto from = std::vector<candidate>{};
    for (auto* it : targets)
        from.push_back(candidate_of(s, *it, p, *r.matched_route, now));
    auto const best = choose(from, s.random);
    return best ? targets[*best] : nullptr;
}

auto is_version_allowed(dispatch_state const& s, part const& p,
    target_entry const& t, time_point now) -> bool
{
    return admits_target(s, t, now) &&
           matches_side(s.services.at(p.service), p.side, t);
}

auto has_untried(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool
{
    return !eligible_targets(s, p, *r.matched_route, false, now).empty();
}

auto expected_wait(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> duration
{
    auto const service = s.services.find(p.service);
    if (service == s.services.end())
        return duration::max();
    auto const waiting = service->second.waiting.size();
    auto const limited = wait_at_limit(s, p, *r.matched_route, waiting, now);
    if (limited)
        return *limited;
    if (waiting == 0)
    {
        auto const has_any = any_target(s, p.service,
            [](target_entry const& t)
            { return has_capacity(t.concurrency, t.health.in_flight); });
        return has_any ? duration{0} : duration::max();
    }
    auto const targets = eligible_targets(s, p, *r.matched_route, true, now);
    if (targets.empty())
        return duration::max();
    auto total_concurrency = 0.0; // Requests that the targets can take at once.
    auto mean_time = 0.0;         // Of a request, in microseconds.
    for (auto* it : targets)
    {
        auto const links = std::max(it->links, share_of(s, *it, now).limit);
        total_concurrency +=
            std::max(1.0, std::min<double>(links, it->concurrency.limit));
        auto const usual =
            typical_latency(estimate_for(s, *r.matched_route, it->distance),
                default_latency(it->distance));
        mean_time += slowness_at(it->health, s.init.limits, now) *
                     static_cast<double>(usual.count());
    }
    mean_time /= static_cast<double>(targets.size());
    return duration{static_cast<duration::rep>(
        mean_time * static_cast<double>(waiting) / total_concurrency)};
}

auto has_target(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool
{
    auto const side =
        p.side == version_side::prefer_new ? version_side::any : p.side;
    return any_target(s, p.service,
        [&](target_entry& t)
        {
            return matches_side(s.services.at(p.service), side, t) &&
                   is_eligible(s, t, p, *r.matched_route, any_time, now);
        });
}

auto has_reconnecting_target(dispatch_state const& s, service_id service,
    route const& r, time_point now) -> bool
{
    return any_target(s, service,
        [&](target_entry const& t)
        {
            return is_usable(t, now) && is_allowed(t, r) &&
                   is_reconnecting(s, t, now);
        });
}

auto is_connecting(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool
{
    return any_target(s, service,
               [&](target_entry const& t)
               { return is_about_to_open(t, now); }) ||
           has_reconnecting_target(s, service, r, now);
}

} // namespace knapweedstream::dispatch
