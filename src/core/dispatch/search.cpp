#include "core/dispatch/search.hpp"

#include "core/dispatch/choice.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/parts.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/room.hpp"

#include <algorithm>
#include <array>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto default_opening = milliseconds{8}; ///< If unknown.

auto prior(proximity p) -> duration
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

auto candidate_of(dispatch_state& s, target_entry& t, route const& r,
    bool fresh, time_point now) -> candidate
{
    auto const& limits = s.init.limits;
    auto const e = estimate_for(s, r, t.where);
    auto c = candidate{};
    c.typical = typical(e, prior(t.where));
    c.slowness = slowness_at(t.health, limits, now);
    c.failure_rate = failure_rate_at(t.health, limits, now);
    c.in_flight = t.health.in_flight;
    c.slots = t.info.slots;
    c.silence = silence(t.health, now);
    c.patience = hedge_patience(e, limits);
    c.penalty =
        t.where == proximity::far ? duration{limits.far_penalty} : duration{0};
    c.idle =
        !t.idle.empty() && (!fresh || now - s.links.at(t.idle.back()).since <=
                                          duration{limits.fresh_for});
    c.may_open = may_open(s, t, now) || t.links == 0;
    c.opening = t.opening_takes == duration{0} ? duration{default_opening}
                                               : t.opening_takes;
    return c;
}

/// Which targets a search takes; each step takes more of them.
struct search_step
{
    bool suspended = false;  ///< Also those that were silent.
    bool tried = false;      ///< Also those that were asked for this part.
    bool over_share = false; ///< Also one connection beyond this instance's
                             ///< share.
};

constexpr auto search_steps = std::array{search_step{false, false, false},
    search_step{false, false, true}, search_step{true, false, true},
    search_step{true, true, true}};

/// True if the target has a connection, or one may be opened for a request.
auto can_connect(
    dispatch_state& s, target_entry& t, bool over_share, time_point now) -> bool
{
    return t.links > 0 || may_open(s, t, now) ||
           (over_share && now >= t.open_after);
}

/// Suspended targets of idempotent requests are probed beside another one.
auto may_be_first(target_health const& h, route const& r, time_point now)
    -> bool
{
    return std::holds_alternative<sound>(h.state) ||
           (r.delivery == delivery_semantics::at_most_once &&
               is_trusted(h, now));
}

auto is_of_side(service_entry const& service, version_side side,
    target_entry const& t) -> bool
{
    return !service.shift || fits(*service.shift, side, t.info.version);
}

/// Place of this instance among all that may warm a target: near ones first.
auto warming_rank(dispatch_state const& s, target_entry const& t) -> std::size_t
{
    return rank_of_self(s,
        [&](instance_record const& it) {
            return std::pair{
                it.region != t.region, hash_name(it.name, t.id.value)};
        });
}

auto is_eligible(dispatch_state& s, target_entry& t, part const& p,
    route const& r, search_step const& step, time_point now) -> bool
{
    return is_usable(t, now) && is_reachable(t, now) && is_allowed(t, r) &&
           (step.tried || !was_tried(p, t.id)) &&
           (step.suspended || may_be_first(t.health, r, now)) &&
           can_connect(s, t, step.over_share, now) && bears_more(s, t, now);
}

/// Targets of one side, while the service's versions are shifted.
auto eligible_of_side(dispatch_state& s, service_entry const& service,
    part const& p, version_side side, route const& r, bool alone,
    time_point now) -> std::vector<target_entry*>
{
    auto found = std::vector<target_entry*>{};
    for (auto const& step : search_steps)
    {
        if (step.tried && !alone)
            break;
        for (auto const id : service.targets)
            if (auto& t = s.targets.at(id);
                has_room(t.room, t.health.in_flight) &&
                is_of_side(service, side, t) &&
                is_eligible(s, t, p, r, step, now))
                found.push_back(&t);
        if (!found.empty())
            break;
    }
    return found;
}

auto eligible_targets(dispatch_state& s, part const& p, route const& r,
    bool alone, time_point now) -> std::vector<target_entry*>
{
    auto const it = s.services.find(p.service);
    if (it == s.services.end())
        return {};
    auto const& service = it->second;
    auto found = eligible_of_side(s, service, p, p.side, r, alone, now);
    if (found.empty() && p.side == version_side::prefer_new)
        found =
            eligible_of_side(s, service, p, version_side::any, r, alone, now);
    return found;
}

/// True if a condition holds for a target of a service.
template <class State, class Condition>
auto any_target(State& s, service_id service, Condition const& holds) -> bool
{
    auto const it = s.services.find(service);
    return it != s.services.end() &&
           std::any_of(it->second.targets.begin(), it->second.targets.end(),
               [&](target_id id) { return holds(s.targets.at(id)); });
}

/// True if an opening has begun and has not yet taken unusually long.
auto is_about_to_open(target_entry const& t, time_point now) -> bool
{
    constexpr auto usual_times = 3;
    constexpr auto unknown = duration{milliseconds{50}};
    auto const usual = t.opening_takes == duration{0}
                           ? unknown
                           : usual_times * t.opening_takes;
    return t.opening > 0 && now - t.opened_last < usual;
}

} // namespace

auto bears_more(dispatch_state& s, target_entry& t, time_point now) -> bool
{
    auto const rate = s.services.at(t.service).policy.cold_requests_per_s;
    if (now >= t.cold_until || rate <= 0)
        return true;
    t.warmup =
        with_time(t.warmup, s.init.bounds, rate, warming_rank(s, t), now);
    return may_send(t.warmup);
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
    bool alone, time_point now) -> target_entry*
{
    auto const fresh = r.by->delivery == delivery_semantics::at_most_once;
    auto const targets = eligible_targets(s, p, *r.by, alone, now);
    auto from = std::vector<candidate>{};
    for (auto* it : targets)
        from.push_back(candidate_of(s, *it, *r.by, fresh, now));
    auto const best = choose(from, s.random);
    return best ? targets[*best] : nullptr;
}

auto suits(dispatch_state const& s, part const& p, target_entry const& t)
    -> bool
{
    return is_of_side(s.services.at(p.service), p.side, t);
}

auto has_untried(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool
{
    return !eligible_targets(s, p, *r.by, false, now).empty();
}

auto expected_wait(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> duration
{
    auto const service = s.services.find(p.service);
    if (service == s.services.end())
        return duration::max();
    auto const waiting = service->second.waiting.size();
    if (waiting == 0)
    {
        auto const room = any_target(s, p.service,
            [](target_entry const& t)
            { return has_room(t.room, t.health.in_flight); });
        return room ? duration{0} : duration::max();
    }
    auto const targets = eligible_targets(s, p, *r.by, true, now);
    if (targets.empty())
        return duration::max();
    auto width = 0.0; // Requests that they may have at once.
    auto each = 0.0;  // Time that one takes, us.
    for (auto* it : targets)
    {
        auto const links = std::max(it->links, share_of(s, *it, now).limit);
        width += std::max(1.0, std::min<double>(links, it->room.limit));
        auto const usual =
            typical(estimate_for(s, *r.by, it->where), prior(it->where));
        each += slowness_at(it->health, s.init.limits, now) *
                static_cast<double>(usual.count());
    }
    each /= static_cast<double>(targets.size());
    return duration{static_cast<duration::rep>(
        each * static_cast<double>(waiting) / width)};
}

auto has_target(dispatch_state& s, part const& p, open_request const& r,
    time_point now) -> bool
{
    auto const side =
        p.side == version_side::prefer_new ? version_side::any : p.side;
    return any_target(s, p.service,
        [&](target_entry& t)
        {
            return is_of_side(s.services.at(p.service), side, t) &&
                   is_eligible(s, t, p, *r.by, search_steps.back(), now);
        });
}

auto may_come_back(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool
{
    return any_target(s, service,
        [&](target_entry const& t) {
            return is_usable(t, now) && is_allowed(t, r) &&
                   is_returning(s, t, now);
        });
}

auto is_connecting(dispatch_state const& s, service_id service, route const& r,
    time_point now) -> bool
{
    return any_target(s, service,
               [&](target_entry const& t)
               { return is_about_to_open(t, now); }) ||
           may_come_back(s, service, r, now);
}

} // namespace knapweedstream::dispatch
