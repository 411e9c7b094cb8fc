#include "core/dispatch/registrations.hpp"

#include "core/dispatch/charges.hpp"
#include "core/dispatch/crashes.hpp"
#include "core/dispatch/eras.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/pool.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

auto region_of(dispatch_state const& s, std::string const& zone) -> std::string
{
    auto const it = s.init.regions.find(zone);
    return it == s.init.regions.end() ? std::string{} : it->second;
}

auto proximity_to(dispatch_state const& s, std::string const& zone) -> proximity
{
    if (zone == s.init.self.zone)
        return proximity::zone;
    return region_of(s, zone) == s.init.self.region ? proximity::region
                                                    : proximity::far;
}

auto report_target(
    target_entry const& t, target_condition condition, commands& out) -> void
{
    out.push_back(report_fact{
        target_condition_changed{t.info.name, t.info.service, t.info.address,
            condition, "zone=" + t.info.zone + " version=" + t.info.version,
            t.version.revision}});
}

/// How long a target is remembered after its registration has gone.
constexpr auto departed_kept = seconds{60};

/// Remembers a target that is removed.
auto remember_departed(dispatch_state& s, target_entry const& t, time_point now)
    -> void
{
    std::erase_if(s.departed, [&](auto const& it)
        { return now - it.second.at > duration{departed_kept}; });
    s.departed[t.id] = {
        t.info.started_ms, t.notices, now, s.contact.era.value_or(0)};
}

/// What is remembered of a target that registers if it is the same start.
auto take_departed(dispatch_state& s, target_id id, std::int64_t started_ms)
    -> std::optional<departed_target>
{
    auto const it = s.departed.find(id);
    if (it == s.departed.end())
        return std::nullopt;
    auto const found = it->second;
    s.departed.erase(it);
    return found.started_ms == started_ms ? std::optional{found} : std::nullopt;
}

/// Updates which versions a service's targets have.
auto update_versions(dispatch_state& s, service_entry& service, time_point now)
    -> void
{
    auto versions = std::set<std::string>{};
    for (auto const id : service.targets)
        versions.insert(s.targets.at(id).info.version);
    service.versions = with_present(service.versions, versions, now);
}

auto is_restart(target_registration const& a, target_registration const& b)
    -> bool
{
    return a.started_ms != b.started_ms || a.address != b.address ||
           a.service != b.service;
}

/// True if a target has written a registration before the one that is known:
/// the store may execute a write late, or come back from an older copy, also
/// with an earlier start of the target.
auto is_earlier(dispatch_state const& s, target_registration const& r,
    target_registration const& known, time_point now) -> bool
{
    if (r.started_ms == 0)
        return false;
    if (r.started_ms == known.started_ms)
        return r.sequence < known.sequence;
    return r.started_ms < known.started_ms &&
           !is_settled(s, store_kind::targets, now);
}

/// Keeps a target as it is known although the store has an earlier state.
auto keep_target(dispatch_state& s, target_entry& t, store_version version)
    -> void
{
    t.version = version;
    t.lapses_at = time_point::max();
    s.settling.unsettled.insert(store_kind::targets);
}

/// The registration to use in place of one that the store has in a new era and
/// that may be of an earlier state, in which the target was not yet draining,
/// or not yet cold.
auto without_setback(dispatch_state& s, target_entry const& t,
    target_registration const& r, time_point now) -> target_registration
{
    if (r.sequence > t.info.sequence || is_settled(s, store_kind::targets, now))
        return r;
    auto const warmup =
        std::chrono::duration_cast<milliseconds>(t.cold_until - now);
    auto kept = r;
    kept.draining = r.draining || t.info.draining;
    kept.warmup_left = std::max(r.warmup_left, warmup);
    if (kept != r)
        s.settling.unsettled.insert(store_kind::targets);
    return kept;
}

/// The registration to use of a target that went in an earlier era: the store
/// may have come back with one that was deleted.
auto without_return(dispatch_state& s,
    std::optional<departed_target> const& before, target_registration const& r,
    std::uint64_t era, time_point now) -> target_registration
{
    if (!before || before->era >= era ||
        is_settled(s, store_kind::targets, now))
        return r;
    s.settling.unsettled.insert(store_kind::targets);
    auto kept = r;
    kept.draining = true;
    return kept;
}

} // namespace

auto remove_target(
    dispatch_state& s, target_id id, time_point now, commands& out) -> void
{
    auto const it = s.targets.find(id);
    if (it == s.targets.end())
        return;
    auto& t = it->second;
    close_idle(s, t, out);
    settle_unread(s, t, now, now);
    remember_departed(s, t, now);
    note_ended(s, t, now, out);
    report_target(t, target_condition::gone, out);
    auto const service = t.service;
    std::erase(s.services.at(service).targets, id);
    update_versions(s, s.services.at(service), now);
    invalidate_shares(s, service);
    t.listed = false;
    if (t.links == 0)
        s.targets.erase(it);
    else
        t.info.draining = true;
    serve_queue(s, service, now, out);
}

auto deregister_target(
    dispatch_state& s, target_id id, time_point now, commands& out) -> void
{
    auto const it = s.targets.find(id);
    if (it == s.targets.end() || it->second.lapses_at != time_point::max())
        return;
    auto const disruption = s.last_disruption.find(store_kind::targets);
    auto const until = disruption == s.last_disruption.end()
                           ? now
                           : disruption->second + s.init.limits.lapse_grace;
    if (now >= until)
        return remove_target(s, id, now, out);
    it->second.lapses_at = until;
    arm(s, it->second.lapses_at, target_due{id});
}

auto apply_target(dispatch_state& s, target_registration const& r,
    store_version version, time_point now, commands& out) -> void
{
    auto const id = id_of<target_id>(r.name);
    auto const known = s.targets.find(id);
    if (known != s.targets.end() && known->second.listed &&
        is_earlier(s, r, known->second.info, now))
        return keep_target(s, known->second, version);
    auto const restarted =
        known != s.targets.end() && is_restart(known->second.info, r);
    if (restarted)
        remove_target(s, id, now, out);
    auto const [it, fresh] = s.targets.try_emplace(id);
    auto& t = it->second;
    auto const known_before = !fresh && t.listed;
    auto const before = known_before ? std::optional<departed_target>{}
                                     : take_departed(s, id, r.started_ms);
    auto const drains = r.draining && !t.info.draining;
    if (!known_before)
    {
        t.notices = before ? before->notices : target_notices{};
        auto& service = service_entry_of(s, r.service);
        t.id = id;
        t.service = id_of<service_id>(r.service);
        service.targets.push_back(id);
        t.listed = true;
        invalidate_shares(s, t.service);
    }
    t.info = known_before ? without_setback(s, t, r, now)
                          : without_return(s, before, r, version.era, now);
    update_versions(s, s.services.at(t.service), now);
    t.version = version;
    t.distance = proximity_to(s, r.zone);
    t.region = region_of(s, r.zone);
    t.evacuated = s.evacuated.contains(r.zone);
    t.displaced = false;
    t.lapses_at = time_point::max();
    t.cold_until = now + t.info.warmup_left;
    if (fresh)
        report_target(t, target_condition::registered, out);
    if (drains)
        report_target(t, target_condition::draining, out);
    if (!is_usable(t, now))
    {
        close_idle(s, t, out);
        invalidate_shares(s, t.service);
    }
}

} // namespace knapweedstream::dispatch
