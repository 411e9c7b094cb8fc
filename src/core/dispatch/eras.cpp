#include "core/dispatch/eras.hpp"

#include "core/dispatch/reports.hpp"

namespace knapweedstream::dispatch
{

namespace
{

/// How long orders, records and reports are kept that have not been written
/// again. The writer may be cut off or suspended; meanwhile shares of budgets
/// must not grow, and a version on trial must not get more requests.
constexpr auto long_grace = seconds{30};
/// Instances spread their first lists in an era over this time.
constexpr auto list_spread = milliseconds{100};
/// Instances spread the lists by which they settle over this time.
constexpr auto settle_spread = milliseconds{500};

/// How long objects of a kind are kept that are known only from an earlier era.
auto grace_of(dispatch_state const& s, store_kind kind) -> milliseconds
{
    switch (kind)
    {
    case store_kind::rollouts:
    case store_kind::instances:
    case store_kind::reports:
        return long_grace;
    case store_kind::configuration:
    case store_kind::targets:
    case store_kind::evacuations:
        break;
    }
    return s.init.limits.lapse_grace;
}

auto spread_over(dispatch_state& s, milliseconds length) -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(
        scaled(length, draw_fraction(s)));
}

/// True if a time has passed since a kind was first listed in the era.
auto has_passed(dispatch_state const& s, store_kind kind, milliseconds length,
    time_point now) -> bool
{
    auto const it = s.settling.listed_at.find(kind);
    if (it == s.settling.listed_at.end())
        return true;
    return it->second != time_point::max() && now >= it->second + length;
}

auto begin_era(dispatch_state& s, std::uint64_t era, char const* learned_from,
    time_point now, commands& out) -> void
{
    ++s.stats.store_restores;
    out.push_back(report_fact{store_restored{s.contact.era.value_or(0), era,
        learned_from, s.contact.newest.revision}});
    s.contact.era = era;
    s.contact.newest = {era, 0};
    s.replicas.clear();
    auto const delay = spread_over(s, list_spread);
    for (auto const kind : store_kinds)
    {
        s.last_disruption[kind] = now;
        s.settling.listed_at[kind] = time_point::max();
        s.follows[kind].polls = 0;
        restart_kind(s, kind, delay, now);
    }
    rewrite_report(s, now + spread_over(s, s.init.limits.report_interval));
}

} // namespace

auto admit_era(dispatch_state& s, store_era& era, char const* learned_from,
    time_point now, commands& out) -> answer_era
{
    auto const known = s.contact.era;
    if (!era || era == known)
    {
        era = known;
        return answer_era::current;
    }
    if (known && *era < *known)
        return answer_era::outdated;
    auto const is_first = !known && s.contact.newest.revision == 0;
    if (!is_first)
        begin_era(s, *era, learned_from, now, out);
    s.contact.era = era;
    return is_first ? answer_era::current : answer_era::begun;
}

auto is_settled(dispatch_state const& s, store_kind kind, time_point now)
    -> bool
{
    return has_passed(s, kind, grace_of(s, kind), now);
}

auto is_rewritten(dispatch_state const& s, store_kind kind, time_point now)
    -> bool
{
    return has_passed(s, kind, s.init.limits.lapse_grace, now);
}

auto note_listed(dispatch_state& s, store_kind kind, time_point now) -> void
{
    auto const it = s.settling.listed_at.find(kind);
    if (it == s.settling.listed_at.end() || it->second != time_point::max())
        return;
    it->second = now;
    for (auto const grace : {s.init.limits.lapse_grace, grace_of(s, kind)})
        arm(s, now + grace + spread_over(s, settle_spread), settle_due{kind});
}

auto restart_kind(dispatch_state& s, store_kind kind, milliseconds delay,
    time_point now) -> void
{
    auto& f = s.follows[kind];
    f = restarted(std::move(f), s.contact.era.value_or(0), now + delay, now);
    if (auto const* it = std::get_if<pausing>(&f.phase))
        arm(s, it->until, follow_due{kind});
}

auto known_version(dispatch_state const& s, store_kind kind,
    std::string const& name) -> store_version
{
    auto const objects = s.versions.find(kind);
    if (objects == s.versions.end())
        return {};
    auto const it = objects->second.find(name);
    return it == objects->second.end() ? store_version{} : it->second;
}

auto on_settle_due(dispatch_state& s, settle_due const& e, time_point now)
    -> void
{
    if (s.settling.unsettled.erase(e.kind) > 0)
        restart_kind(s, e.kind, milliseconds{0}, now);
}

} // namespace knapweedstream::dispatch
