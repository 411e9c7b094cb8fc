#include "core/dispatch/crashes.hpp"

#include "core/dispatch/pool.hpp"
#include "core/dispatch/reports.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto max_answered = std::size_t{4'096}; ///< Contents remembered.
/// How long an answer shows that the content crashes no target.
constexpr auto answer_counts_for = seconds{60};

auto remember_answered(
    answered_contents& all, fingerprint print, time_point now) -> void
{
    if (!all.at.insert_or_assign(print, now).second)
        return;
    all.order.push_back(print);
    if (all.order.size() <= max_answered)
        return;
    all.at.erase(all.order.front());
    all.order.pop_front();
}

auto was_answered(
    answered_contents const& all, fingerprint print, time_point now) -> bool
{
    auto const it = all.at.find(print);
    return it != all.at.end() &&
           now - it->second <= duration{answer_counts_for};
}

auto has_suspicions(dispatch_state const& s) -> bool
{
    return !s.suspicions.lost.empty() || !s.suspicions.crashes.empty();
}

auto report_crash(target_crash const& c, commands& out) -> void
{
    out.push_back(
        report_fact{crash_suspected{c.print, c.target, c.started_ms}});
}

} // namespace

auto note_lost(dispatch_state& s, attempt const& a, target_entry const& t,
    time_point now) -> void
{
    auto const it = s.requests.find(a.part.request);
    if (it == s.requests.end())
        return;
    auto const print = print_of(*it->second.value.request);
    if (was_answered(s.answered, print, now))
        return;
    s.suspicions = without_expired(s.suspicions, now);
    s.suspicions =
        with_lost(s.suspicions, {print, t.info.name, t.info.started_ms, now});
}

auto note_ended(dispatch_state& s, target_entry const& t, time_point now,
    commands& out) -> void
{
    if (s.suspicions.lost.empty())
        return;
    auto const before = s.suspicions.crashes.size();
    s.suspicions = with_ended(s.suspicions, t.info.name, now);
    auto const& crashes = s.suspicions.crashes;
    for (auto i = before; i < crashes.size(); ++i)
        report_crash(crashes[i].value, out);
    if (crashes.size() > before)
        request_report(s, now);
}

auto check_if_ended(
    dispatch_state& s, target_entry& t, time_point now, commands& out) -> void
{
    auto const& lost = s.suspicions.lost;
    auto const suspected = std::any_of(lost.begin(), lost.end(),
        [&](lost_request const& it) { return it.target == t.info.name; });
    if (suspected && t.listed && t.links == 0)
        open_link(s, t, now, out);
}

auto note_answered(dispatch_state& s, request_entry const& e, time_point now)
    -> void
{
    if (e.answered_parts != 1)
        return;
    auto const print = print_of(*e.value.request);
    remember_answered(s.answered, print, now);
    if (has_suspicions(s))
        s.suspicions = with_answered(s.suspicions, print);
}

auto is_deadly(dispatch_state& s, routed_request const& r, time_point now)
    -> bool
{
    s.suspicions = without_expired(s.suspicions, now);
    auto const reported = reported_crashes(s, now);
    if (s.suspicions.crashes.empty() && reported.empty())
        return false;
    auto const print = print_of(r);
    return is_deadly(s.suspicions, reported, print) &&
           !was_answered(s.answered, print, now);
}

} // namespace knapweedstream::dispatch
