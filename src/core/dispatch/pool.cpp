#include "core/dispatch/pool.hpp"

#include "core/backoff.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/placing.hpp"

#include <algorithm>
#include <string>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto max_opening = 3u; ///< Concurrent openings to one target.
/// Slowness above which a target is reported as slow, and below which it may be
/// reported as recovered.
constexpr auto slow_from = 3.0;
constexpr auto slow_until = 1.5;
/// Failure rate above which a target is reported as failing, and below which it
/// may be reported as recovered.
constexpr auto failing_from = 0.3;
constexpr auto failing_until = 0.1;
/// Weight of the newest sample in the smoothed time to open a connection.
constexpr auto opening_weight = 0.3;

/// True if the target may be connected to before a request needs it. Far
/// targets must wait until the instances have been listed twice, so that the
/// shares are known.
auto may_preconnect(dispatch_state const& s, target_entry const& t) -> bool
{
    constexpr auto lists_needed = 2u;
    auto const it = s.follows.find(store_kind::instances);
    return t.distance != proximity::far ||
           (it != s.follows.end() && it->second.lists >= lists_needed);
}

auto smoothed(duration old, duration sample) -> duration
{
    if (old == duration{0})
        return sample;
    return old + scaled(sample - old, opening_weight);
}

/// Time until which an idle connection may be used. A connection beyond this
/// instance's share expires early, to leave room to other instances.
auto idle_until(dispatch_state& s, target_entry& t, duration idle_limit,
    time_point now) -> time_point
{
    auto const margin = duration{s.init.limits.idle_margin};
    auto const by_target =
        idle_limit == duration{0}
            ? time_point::max()
            : now + std::max(idle_limit - margin, idle_limit / 2);
    if (t.links <= share_of(s, t, now).limit)
        return by_target;
    return std::min(by_target, now + s.init.limits.borrowed_for);
}

auto current_condition(dispatch_state const& s, target_entry const& t,
    time_point now) -> target_condition
{
    auto const& limits = s.init.limits;
    auto const slow = slowness_at(t.health, limits, now);
    auto const failing = failure_rate_at(t.health, limits, now);
    if (t.open_failures > 0 && t.links == t.opening)
        return target_condition::down;
    if (std::holds_alternative<suspended>(t.health.state))
        return target_condition::stalled;
    if (failing > failing_from)
        return target_condition::failing;
    if (slow > slow_from)
        return target_condition::slow;
    auto const calm = slow < slow_until && failing < failing_until;
    return calm ? target_condition::recovered : t.logged_condition;
}

auto has_replied_on(part const& p, connection_id id) -> bool
{
    return std::find(p.replied_on.begin(), p.replied_on.end(), id) !=
           p.replied_on.end();
}

auto find_idle(dispatch_state const& s, target_entry const& t, part const& p,
    delivery_semantics how, time_point now) -> connection_id
{
    auto const once = how == delivery_semantics::at_most_once;
    auto found = connection_id{};
    for (auto it = t.idle.rbegin(); it != t.idle.rend(); ++it)
    {
        auto const& l = s.links.at(*it);
        auto const old = now - l.since > duration{s.init.limits.fresh_for};
        auto const used = has_replied_on(p, l.id);
        if (now >= l.usable_until || (once && (old || used)))
            continue;
        if (once ? l.replied : !used)
            return *it;
        if (found == connection_id{})
            found = *it;
    }
    return found;
}

} // namespace

auto is_usable(target_entry const& t, time_point now) -> bool
{
    return !t.info.draining && !t.notices.leaving && !t.evacuated &&
           !t.displaced && now < t.lapses_at;
}

auto is_reachable(target_entry const& t, time_point now) -> bool
{
    return t.links > t.opening || now >= t.open_after;
}

auto is_reconnecting(
    dispatch_state const& s, target_entry const& t, time_point now) -> bool
{
    return now < t.open_after && t.links == 0 &&
           t.open_failures < s.init.limits.failures_until_down;
}

auto may_open(dispatch_state& s, target_entry& t, time_point now) -> bool
{
    return now >= t.open_after && t.opening < max_opening &&
           (t.open_failures == 0 || t.opening == 0) &&
           t.links < share_of(s, t, now).limit;
}

auto open_link(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void
{
    auto l = link{};
    l.id = next_handle<connection_id>(s);
    l.target = t.id;
    l.since = now;
    s.links.emplace(l.id, l);
    ++t.links;
    ++t.opening;
    t.last_open_started = now;
    ++s.stats.connects;
    out.push_back(open_connection{l.id, t.info.address});
    arm(s, now + s.init.limits.connect_timeout, link_due{l.id});
}

auto preconnect(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void
{
    auto const it = s.services.find(t.service);
    auto const routed = it != s.services.end() && it->second.routed;
    if (routed && is_usable(t, now) && t.idle.empty() && t.opening == 0 &&
        t.links == 0 && may_preconnect(s, t) &&
        share_of(s, t, now).to_preconnect && may_open(s, t, now))
        open_link(s, t, now, out);
}

auto preconnect_all(dispatch_state& s, time_point now, commands& out) -> void
{
    for (auto& [id, t] : s.targets)
        preconnect(s, t, now, out);
}

auto remove_link(dispatch_state& s, link const& l) -> void
{
    auto const it = s.targets.find(l.target);
    if (it != s.targets.end())
    {
        auto& t = it->second;
        t.links -= t.links > 0 ? 1 : 0;
        if (l.state == link_state::opening)
            t.opening -= t.opening > 0 ? 1 : 0;
        std::erase(t.idle, l.id);
    }
    s.links.erase(l.id);
}

auto close_link(dispatch_state& s, connection_id id, commands& out) -> void
{
    auto const it = s.links.find(id);
    if (it == s.links.end())
        return;
    auto const l = it->second;
    remove_link(s, l);
    out.push_back(close_connection{id});
}

auto close_idle(dispatch_state& s, target_entry& t, commands& out) -> void
{
    auto const idle = t.idle;
    for (auto const id : idle)
        close_link(s, id, out);
}

auto has_idle(dispatch_state const& s, target_entry const& t, part const& p,
    delivery_semantics how, time_point now) -> bool
{
    return find_idle(s, t, p, how, now) != connection_id{};
}

auto take_idle(dispatch_state& s, target_entry& t, part const& p,
    delivery_semantics how, time_point now) -> connection_id
{
    auto const id = find_idle(s, t, p, how, now);
    std::erase(t.idle, id);
    return id;
}

auto open_for_request(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void
{
    if (!may_open(s, t, now) && !t.idle.empty())
        close_link(s, t.idle.front(), out);
    if (may_open(s, t, now) || t.links == 0)
        open_link(s, t, now, out);
}

auto release_link(dispatch_state& s, link const& l, duration idle_limit,
    time_point now) -> void
{
    auto next = l;
    next.state = link_state::idle;
    next.attempt = {};
    next.since = now;
    auto& t = s.targets.at(l.target);
    next.usable_until = idle_until(s, t, idle_limit, now);
    s.links.at(l.id) = next;
    t.idle.push_back(l.id);
    if (next.usable_until != time_point::max())
        arm(s, next.usable_until, link_due{l.id});
}

auto time_to_settle(target_entry const& t, dispatch_limits const& limits)
    -> duration
{
    return t.connect_time + duration{limits.turned_away_slack};
}

auto was_turned_away(dispatch_state const& s, link const& l, connection_end how,
    time_point now) -> bool
{
    return !l.replied && how == connection_end::reset &&
           now - l.since <= duration{s.init.limits.turned_away_within};
}

auto on_opened(dispatch_state& s, connection_opened const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.links.find(e.connection);
    if (it == s.links.end())
    {
        out.push_back(close_connection{e.connection});
        return;
    }
    auto& t = s.targets.at(it->second.target);
    t.opening -= t.opening > 0 ? 1 : 0;
    t.connect_time = smoothed(t.connect_time, now - it->second.since);
    it->second.opened = now;
    release_link(s, it->second, duration{0}, now);
    report_condition(s, t, now, out);
    if (!is_usable(t, now))
        return close_idle(s, t, out);
    serve_queue(s, t.service, now, out);
}

auto back_off(dispatch_state& s, target_entry& t, time_point now) -> void
{
    auto const& limits = s.init.limits;
    auto const wait =
        backoff_delay(limits.reopen_first, t.open_failures, limits.reopen_most);
    ++t.open_failures;
    ++s.stats.connect_failures;
    t.open_after = now + wait;
    arm(s, t.open_after, target_due{t.id});
}

auto on_open_failed(
    dispatch_state& s, link const& l, time_point now, commands& out) -> void
{
    remove_link(s, l);
    auto const it = s.targets.find(l.target);
    if (it == s.targets.end())
        return;
    auto& t = it->second;
    back_off(s, t, now);
    report_condition(s, t, now, out);
    serve_queue(s, t.service, now, out);
}

auto on_link_due(
    dispatch_state& s, link_due const& e, time_point now, commands& out) -> void
{
    auto const it = s.links.find(e.connection);
    if (it == s.links.end())
        return;
    auto const l = it->second;
    auto const late = l.state == link_state::opening &&
                      now - l.since >= duration{s.init.limits.connect_timeout};
    if (late)
    {
        out.push_back(close_connection{l.id});
        return on_open_failed(s, l, now, out);
    }
    if (l.state != link_state::idle || now < l.usable_until)
        return;
    close_link(s, l.id, out);
    auto const t = s.targets.find(l.target);
    if (t != s.targets.end())
        preconnect(s, t->second, now, out);
}

auto report_condition(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void
{
    auto const condition = current_condition(s, t, now);
    auto const was_bad = t.logged_condition >= target_condition::slow &&
                         t.logged_condition <= target_condition::down;
    if (condition == t.logged_condition ||
        (condition == target_condition::recovered && !was_bad))
        return;
    t.logged_condition = condition;
    auto const& h = t.health;
    auto const age = std::chrono::duration_cast<milliseconds>(now - h.observed);
    out.push_back(report_fact{target_condition_changed{t.info.name,
        t.info.service, t.info.address, condition,
        "slowness=" + std::to_string(slowness_at(h, s.init.limits, now)) +
            " failure_rate=" +
            std::to_string(failure_rate_at(h, s.init.limits, now)) +
            " open_failures=" + std::to_string(t.open_failures) +
            " in_flight=" + std::to_string(h.in_flight) +
            " age_ms=" + std::to_string(age.count()),
        t.version.revision}});
}

} // namespace knapweedstream::dispatch
