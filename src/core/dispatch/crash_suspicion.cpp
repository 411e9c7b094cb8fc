#include "core/dispatch/crash_suspicion.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Targets that a request may crash before its content is refused.
constexpr auto deadly_crashes = std::size_t{2};
/// A target whose end shows later than this after a loss ended for another
/// reason.
constexpr auto confirm_within = seconds{10};
/// How long a crash is held against a request.
constexpr auto held_for = seconds{60};
constexpr auto max_lost = std::size_t{256};
constexpr auto max_crashes = std::size_t{64};

auto holds(std::deque<suspected_crash> const& all, target_crash const& c)
    -> bool
{
    return std::any_of(all.begin(), all.end(),
        [&](suspected_crash const& it) { return it.value == c; });
}

} // namespace

auto print_of(routed_request const& r) -> fingerprint
{
    auto h = hash_name(r.method);
    h = hash_name(r.host, h);
    h = hash_name(r.target, h);
    return {hash_name(r.body, h)};
}

auto with_lost(crash_suspicions const& c, lost_request const& l)
    -> crash_suspicions
{
    auto next = c;
    next.lost.push_back(l);
    if (next.lost.size() > max_lost)
        next.lost.pop_front();
    return next;
}

auto with_ended(crash_suspicions const& c, std::string const& target,
    time_point now) -> crash_suspicions
{
    auto next = c;
    for (auto const& it : c.lost)
    {
        auto const crash = target_crash{it.print.value, target, it.started_ms};
        if (it.target == target && now - it.at <= confirm_within &&
            !holds(next.crashes, crash))
            next.crashes.push_back({crash, now});
    }
    std::erase_if(
        next.lost, [&](lost_request const& it) { return it.target == target; });
    while (next.crashes.size() > max_crashes)
        next.crashes.pop_front();
    return next;
}

auto with_answered(crash_suspicions const& c, fingerprint print)
    -> crash_suspicions
{
    auto next = c;
    std::erase_if(
        next.lost, [&](lost_request const& it) { return it.print == print; });
    std::erase_if(next.crashes, [&](suspected_crash const& it)
        { return it.value.print == print.value; });
    return next;
}

auto without_expired(crash_suspicions const& c, time_point now)
    -> crash_suspicions
{
    auto next = c;
    while (!next.lost.empty() && now - next.lost.front().at > confirm_within)
        next.lost.pop_front();
    while (!next.crashes.empty() && now - next.crashes.front().at > held_for)
        next.crashes.pop_front();
    return next;
}

auto is_deadly(crash_suspicions const& c,
    std::span<target_crash const> reported, fingerprint print) -> bool
{
    auto ended = std::set<std::pair<std::string, std::int64_t>>{};
    for (auto const& it : c.crashes)
        if (it.value.print == print.value)
            ended.emplace(it.value.target, it.value.started_ms);
    for (auto const& it : reported)
        if (it.print == print.value)
            ended.emplace(it.target, it.started_ms);
    return ended.size() >= deadly_crashes;
}

} // namespace knapweedstream::dispatch
