#include "core/dispatch/catalog.hpp"

#include "core/dispatch/crashes.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/relays.hpp"
#include "core/dispatch/reports.hpp"
#include "core/dispatch/rollout_orders.hpp"
#include "core/dispatch/route_table.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

auto is_evacuated(dispatch_state const& s, std::string const& zone) -> bool
{
    return s.evacuated.contains(zone);
}

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
    out.push_back(report_fact{target_condition_changed{t.info.name,
        t.info.service, t.info.address, condition,
        "zone=" + t.info.zone + " version=" + t.info.version, t.revision}});
}

/// How long the notices of a target are kept after its registration has gone.
constexpr auto departed_kept = seconds{60};

/// Keeps the notices of a target that is removed.
auto keep_notices(dispatch_state& s, target_entry const& t, time_point now)
    -> void
{
    std::erase_if(s.departed, [&](auto const& it)
        { return now - it.second.at > duration{departed_kept}; });
    if (!is_empty(t.notices, now))
        s.departed[t.id] = {t.info.started_ms, t.notices, now};
}

/// Notices of a target that registers: those from before if it is the same
/// start.
auto kept_notices(dispatch_state& s, target_id id, std::int64_t started_ms)
    -> target_notices
{
    auto const it = s.departed.find(id);
    if (it == s.departed.end())
        return {};
    auto const n = it->second.started_ms == started_ms ? it->second.notices
                                                       : target_notices{};
    s.departed.erase(it);
    return n;
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

auto remove_target(
    dispatch_state& s, target_id id, time_point now, commands& out) -> void
{
    auto const it = s.targets.find(id);
    if (it == s.targets.end())
        return;
    auto& t = it->second;
    close_idle(s, t, out);
    keep_notices(s, t, now);
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

/// Removes a target whose registration vanished; shortly after a store outage
/// only when the grace period since the store's return has ended, as the
/// registration may come back until then.
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

auto is_restart(target_registration const& a, target_registration const& b)
    -> bool
{
    return a.started_ms != b.started_ms || a.address != b.address ||
           a.service != b.service;
}

auto apply_target(dispatch_state& s, target_registration const& r,
    std::uint64_t revision, time_point now, commands& out) -> void
{
    auto const id = id_of<target_id>(r.name);
    auto const known = s.targets.find(id);
    auto const restarted =
        known != s.targets.end() && is_restart(known->second.info, r);
    if (restarted)
        remove_target(s, id, now, out);
    auto const [it, fresh] = s.targets.try_emplace(id);
    auto& t = it->second;
    if (fresh || !t.listed)
        t.notices = kept_notices(s, id, r.started_ms);
    auto const drains = r.draining && !t.info.draining;
    if (fresh || !t.listed)
    {
        auto& service = service_entry_of(s, r.service);
        t.id = id;
        t.service = id_of<service_id>(r.service);
        service.targets.push_back(id);
        t.listed = true;
        invalidate_shares(s, t.service);
    }
    t.info = r;
    update_versions(s, s.services.at(t.service), now);
    t.revision = revision;
    t.distance = proximity_to(s, r.zone);
    t.region = region_of(s, r.zone);
    t.evacuated = is_evacuated(s, r.zone);
    t.displaced = false;
    t.lapses_at = time_point::max();
    t.cold_until = now + r.warmup_left;
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

auto update_services(dispatch_state& s) -> void
{
    for (auto& [id, it] : s.services)
        it.routed = false;
    for (auto const& r : s.config->routes)
        for (auto const& name : services_of(r))
            service_entry_of(s, name).routed = true;
    for (auto const& p : s.config->services)
        service_entry_of(s, p.name).policy = p;
    invalidate_all_shares(s);
}

auto apply_config(dispatch_state& s, routing_config const& c,
    std::uint64_t revision, time_point now, commands& out) -> void
{
    if (s.config != nullptr && c.version <= s.config->version)
    {
        if (c.version < s.config->version)
            out.push_back(
                report_fact{config_ignored{c.version, s.config->version}});
        return;
    }
    ++s.stats.configs;
    s.config = std::make_shared<routing_config const>(c);
    s.config_revision = revision;
    update_services(s);
    out.push_back(set_caller_limits{c.limits});
    out.push_back(
        report_fact{config_applied{c.version, revision, c.routes.size()}});
    preconnect_all(s, now, out);
}

auto set_evacuated(dispatch_state& s, std::string const& zone, bool on,
    std::uint64_t revision, time_point now, commands& out) -> void
{
    if (on == is_evacuated(s, zone))
        return;
    if (on)
        s.evacuated.insert(zone);
    else
        s.evacuated.erase(zone);
    out.push_back(report_fact{zone_changed{zone, on, revision}});
    for (auto& [id, t] : s.targets)
        if (t.info.zone == zone)
        {
            t.evacuated = on;
            if (on)
                close_idle(s, t, out);
            invalidate_shares(s, t.service);
        }
    preconnect_all(s, now, out);
}

auto set_instance(dispatch_state& s, std::string const& name,
    instance_record const* r) -> void
{
    auto const known = s.instances.find(name);
    auto const listed = known != s.instances.end();
    if (r == nullptr ? !listed : listed && known->second == *r)
        return;
    if (r != nullptr)
        s.instances[name] = *r;
    else
        s.instances.erase(known);
    invalidate_all_shares(s);
    for (auto& [id, it] : s.services)
        it.budget = with_share(it.budget, budget_share_of(s));
}

auto apply_object(dispatch_state& s, store_kind kind, stored_object const& o,
    time_point now, commands& out) -> void
{
    std::visit(
        overloaded{[&](unreadable_object const& it) {
                       out.push_back(report_fact{
                           object_skipped{kind, o.name, it.reason}});
                   },
            [&](routing_config const& it)
            { apply_config(s, it, o.revision, now, out); },
            [&](target_registration const& it)
            { apply_target(s, it, o.revision, now, out); },
            [&](zone_evacuation const& it)
            { set_evacuated(s, it.zone, true, o.revision, now, out); },
            [&](rollout_order const& it)
            { apply_order(s, it, o.revision, now, out); },
            [&](instance_record const& it) { set_instance(s, o.name, &it); },
            [&](instance_report const& it)
            {
                apply_report(s, it, now);
            }},
        o.value);
}

/// Handles an object that was deleted or can no longer be decoded.
auto drop_object(dispatch_state& s, store_kind kind, std::string const& name,
    std::uint64_t revision, time_point now, commands& out) -> void
{
    switch (kind)
    {
    case store_kind::targets:
        return deregister_target(s, id_of<target_id>(name), now, out);
    case store_kind::evacuations:
        return set_evacuated(s, name, false, revision, now, out);
    case store_kind::instances:
        return set_instance(s, name, nullptr);
    case store_kind::rollouts:
        return drop_order(s, name);
    case store_kind::reports:
        return drop_report(s, name);
    case store_kind::configuration:
        return;
    }
}

auto known_names(dispatch_state const& s, store_kind kind)
    -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    if (kind == store_kind::targets)
        for (auto const& [id, it] : s.targets)
            names.push_back(it.info.name);
    if (kind == store_kind::evacuations)
        names.assign(s.evacuated.begin(), s.evacuated.end());
    if (kind == store_kind::rollouts)
        names = ordered_services(s);
    if (kind == store_kind::instances)
        for (auto const& [name, it] : s.instances)
            names.push_back(name);
    if (kind == store_kind::reports)
        for (auto const& [name, it] : s.reports)
            names.push_back(name);
    return names;
}

/// True if an object is known from a later revision than that of a list, so
/// that the list says nothing of it.
auto is_newer(dispatch_state const& s, store_kind kind, std::string const& name,
    std::uint64_t revision) -> bool
{
    auto const known = s.revisions.find(kind);
    if (known == s.revisions.end())
        return false;
    auto const it = known->second.find(name);
    return it != known->second.end() && it->second > revision;
}

auto apply_change(dispatch_state& s, store_kind kind, stored_change const& c,
    time_point now, commands& out) -> void
{
    auto const& o = c.object;
    auto& seen = s.revisions[kind][o.name];
    if (o.revision < seen)
        return;
    seen = o.revision;
    auto const readable = !std::holds_alternative<unreadable_object>(o.value);
    if (c.deleted || !readable)
        drop_object(s, kind, o.name, o.revision, now, out);
    if (!c.deleted)
        apply_object(s, kind, o, now, out);
    if (c.deleted)
        s.revisions[kind].erase(o.name);
}

} // namespace

auto service_entry_of(dispatch_state& s, std::string const& name)
    -> service_entry&
{
    auto const [it, fresh] = s.services.try_emplace(id_of<service_id>(name));
    if (fresh)
    {
        it->second.name = name;
        it->second.budget = with_share({}, budget_share_of(s));
    }
    return it->second;
}

auto apply_list(dispatch_state& s, store_kind kind,
    std::span<stored_object const> objects, std::uint64_t revision,
    time_point now, commands& out) -> void
{
    if (passes_on(s))
        record_list(s.replicas[kind], objects, revision, now);
    auto listed = std::set<std::string>{};
    for (auto const& it : objects)
    {
        listed.insert(it.name);
        apply_change(s, kind, {it, false}, now, out);
    }
    for (auto const& name : known_names(s, kind))
        if (!listed.contains(name) && !is_newer(s, kind, name, revision))
        {
            s.revisions[kind].erase(name);
            drop_object(s, kind, name, 0, now, out);
        }
    if (kind == store_kind::targets)
        preconnect_all(s, now, out);
}

auto apply_changes(dispatch_state& s, store_kind kind,
    std::span<stored_change const> changes, time_point now, commands& out)
    -> void
{
    if (passes_on(s))
        record_changes(s.replicas[kind], changes, now);
    for (auto const& it : changes)
        apply_change(s, kind, it, now, out);
    if (kind == store_kind::targets)
        preconnect_all(s, now, out);
}

auto on_target_due(dispatch_state& s, target_due const& e, time_point now,
    commands& out) -> void
{
    auto const it = s.targets.find(e.target);
    if (it == s.targets.end())
        return;
    if (now >= it->second.lapses_at)
        return remove_target(s, e.target, now, out);
    preconnect(s, it->second, now, out);
    serve_queue(s, it->second.service, now, out);
}

auto has_initial_data(dispatch_state const& s) -> bool
{
    auto const it = s.follows.find(store_kind::targets);
    return s.config != nullptr && it != s.follows.end() &&
           it->second.revision != 0;
}

} // namespace knapweedstream::dispatch
