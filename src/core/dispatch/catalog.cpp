#include "core/dispatch/catalog.hpp"

#include "core/dispatch/charges.hpp"
#include "core/dispatch/eras.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/placing.hpp"
#include "core/dispatch/pool.hpp"
#include "core/dispatch/registrations.hpp"
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
    if (s.config != nullptr && c == *s.config)
        return;
    if (s.config != nullptr && c.version < s.config->version)
    {
        out.push_back(
            report_fact{config_ignored{c.version, s.config->version}});
        return;
    }
    ++s.stats.configs;
    s.config = std::make_shared<routing_config const>(c);
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

/// True if two records differ in their claim only.
auto is_same_place(instance_record a, instance_record const& b) -> bool
{
    a.budget_claim = b.budget_claim;
    return a == b;
}

auto set_instance(dispatch_state& s, std::string const& name,
    instance_record const* r) -> void
{
    auto const known = s.instances.find(name);
    auto const listed = known != s.instances.end();
    auto const changed =
        r == nullptr ? listed : !listed || !is_same_place(known->second, *r);
    if (r != nullptr)
        s.instances[name] = *r;
    else if (listed)
        s.instances.erase(known);
    if (changed)
        invalidate_all_shares(s);
}

auto apply_object(dispatch_state& s, store_kind kind, stored_object const& o,
    std::uint64_t era, time_point now, commands& out) -> void
{
    auto const version = store_version{era, o.revision};
    std::visit(
        overloaded{[&](unreadable_object const& it) {
                       out.push_back(report_fact{
                           object_skipped{kind, o.name, it.reason}});
                   },
            [&](routing_config const& it)
            { apply_config(s, it, o.revision, now, out); },
            [&](target_registration const& it)
            { apply_target(s, it, version, now, out); },
            [&](zone_evacuation const& it)
            { set_evacuated(s, it.zone, true, o.revision, now, out); },
            [&](rollout_order const& it)
            { apply_order(s, it, version, now, out); },
            [&](instance_record const& it) { set_instance(s, o.name, &it); },
            [&](instance_report const& it)
            {
                apply_report(s, it, version, now);
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

/// True if an object that a list lacks is kept: it is known from a later
/// version than that of the list, or only from an earlier era, and its writer
/// may write it again.
auto is_kept(dispatch_state& s, store_kind kind, std::string const& name,
    store_version version, time_point now) -> bool
{
    auto const known = known_version(s, kind, name);
    if (known > version)
        return true;
    auto const may_return = known.era < version.era && known.revision != 0 &&
                            !is_settled(s, kind, now);
    if (may_return)
        s.settling.unsettled.insert(kind);
    return may_return;
}

auto note_outdated(
    objects_outdated& all, stored_object const& o, store_version known) -> void
{
    if (all.objects++ > 0)
        return;
    all.name = o.name;
    all.revision = o.revision;
    all.known = known.revision;
}

auto report_outdated(
    dispatch_state& s, objects_outdated const& all, commands& out) -> void
{
    if (all.objects == 0)
        return;
    s.stats.outdated_objects += all.objects;
    out.push_back(report_fact{all});
}

auto apply_change(dispatch_state& s, store_kind kind, stored_change const& c,
    std::uint64_t era, time_point now, objects_outdated& outdated,
    commands& out) -> void
{
    auto const& o = c.object;
    auto const version = store_version{era, o.revision};
    auto& seen = s.versions[kind][o.name];
    if (version < seen)
        return note_outdated(outdated, o, seen);
    seen = version;
    auto const readable = !std::holds_alternative<unreadable_object>(o.value);
    if (c.deleted || !readable)
        drop_object(s, kind, o.name, o.revision, now, out);
    if (!c.deleted)
        apply_object(s, kind, o, era, now, out);
    if (c.deleted)
        s.versions[kind].erase(o.name);
}

} // namespace

auto service_entry_of(dispatch_state& s, std::string const& name)
    -> service_entry&
{
    auto const [it, fresh] = s.services.try_emplace(id_of<service_id>(name));
    if (fresh)
    {
        it->second.name = name;
    }
    return it->second;
}

auto apply_list(dispatch_state& s, store_kind kind,
    std::span<stored_object const> objects, store_version version,
    time_point now, commands& out) -> void
{
    if (passes_on(s))
        record_list(s.replicas[kind], objects, version, now);
    note_listed(s, kind, now);
    auto listed = std::set<std::string>{};
    auto outdated = objects_outdated{kind, 0, {}, 0, 0};
    for (auto const& it : objects)
    {
        listed.insert(it.name);
        apply_change(s, kind, {it, false}, version.era, now, outdated, out);
    }
    report_outdated(s, outdated, out);
    for (auto const& name : known_names(s, kind))
        if (!listed.contains(name) && !is_kept(s, kind, name, version, now))
        {
            s.versions[kind].erase(name);
            drop_object(s, kind, name, 0, now, out);
        }
    if (kind == store_kind::targets)
        preconnect_all(s, now, out);
}

auto apply_changes(dispatch_state& s, store_kind kind,
    std::span<stored_change const> changes, std::uint64_t era, time_point now,
    commands& out) -> void
{
    if (passes_on(s))
        record_changes(s.replicas[kind], changes, era, now);
    auto outdated = objects_outdated{kind, 0, {}, 0, 0};
    for (auto const& it : changes)
        apply_change(s, kind, it, era, now, outdated, out);
    report_outdated(s, outdated, out);
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
    settle_expired(s, it->second, now);
    preconnect(s, it->second, now, out);
    serve_queue(s, it->second.service, now, out);
}

auto has_initial_data(dispatch_state const& s) -> bool
{
    auto const it = s.follows.find(store_kind::targets);
    return s.config != nullptr && it != s.follows.end() &&
           (it->second.lists != 0 || it->second.known.revision != 0 ||
               it->second.cut);
}

} // namespace knapweedstream::dispatch
