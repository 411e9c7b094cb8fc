#include "core/dispatch/eras.hpp"

#include "core/dispatch/reports.hpp"

namespace knapweedstream::dispatch
{

namespace
{

/// How long records and reports of instances are kept that their owners have
/// not written again. An owner may be cut off from the store or suspended, and
/// shares of budgets must not grow meanwhile.
constexpr auto own_object_grace = seconds{30};

/// How long objects of a kind are kept that are known only from an earlier era.
auto grace_of(dispatch_state const& s, store_kind kind) -> milliseconds
{
    switch (kind)
    {
    case store_kind::instances:
    case store_kind::reports:
        return own_object_grace;
    case store_kind::configuration:
    case store_kind::targets:
    case store_kind::evacuations:
    case store_kind::rollouts:
        break;
    }
    return s.init.limits.lapse_grace;
}

auto restart_kind(dispatch_state& s, store_kind kind, time_point now) -> void
{
    auto& f = s.follows[kind];
    f = restarted(std::move(f), s.contact.era.value_or(0), now);
    if (auto const* it = std::get_if<pausing>(&f.phase))
        arm(s, it->until, follow_due{kind});
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
    for (auto const kind : store_kinds)
    {
        s.last_disruption[kind] = now;
        s.era.settles_at[kind] = now + grace_of(s, kind);
        arm(s, s.era.settles_at[kind], settle_due{kind});
        restart_kind(s, kind, now);
    }
    rewrite_report(s, now);
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
    auto const it = s.era.settles_at.find(kind);
    return it == s.era.settles_at.end() || now >= it->second;
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
    if (is_settled(s, e.kind, now) && s.era.unsettled.erase(e.kind) > 0)
        restart_kind(s, e.kind, now);
}

} // namespace knapweedstream::dispatch
