#include "core/rollout_driver.hpp"

#include "core/membership.hpp"
#include "core/ownership.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace knapweedstream
{

namespace
{

auto wall_ms(node_state const& s, time_point now) -> std::int64_t
{
    auto const us = now.time_since_epoch().count() + s.init.wall_offset_us;
    return us / 1'000;
}

auto policy_of(service_entry const& service) -> rollout_policy const&
{
    return service.info.rollout;
}

/// The instance that drives the service's rollout: it ranks first for it. None
/// if no instance is known.
auto driver_of(node_state const& s, service_id id) -> instance_id
{
    auto const first =
        rendezvous(hash_name("rollout", id.value), owner_candidates(s), 1);
    return first.empty() ? instance_id{} : first.front();
}

auto is_driver(node_state const& s, service_id id) -> bool
{
    return driver_of(s, id) == s.self;
}

auto hash_percent(run_id const& run) -> std::uint32_t
{
    auto const bytes = std::bit_cast<std::array<char, 8>>(run.query.value);
    return static_cast<std::uint32_t>(
        hash_name({bytes.data(), bytes.size()}) % 100);
}

auto broadcast(node_state& s, message const& m, instance_id except) -> void
{
    for (auto const& [peer, it] : s.members)
        if (it.state == member_state::alive && peer != except)
            post(s, peer, m);
}

auto write_rollout(
    service_id id, rollout_entry& e, rollout const& next, commands& out) -> void
{
    e.in_progress = true;
    out.push_back(rollout_write{id, e.version, next});
}

/// Adopts a rollout state if it is newer than the present one. A state never
/// goes back: one that is further along stays, though the platform has lost it.
///
/// @returns True if it was adopted.
auto adopt_if_newer(node_state& s, service_id id, store_version version,
    rollout const& value, commands& out) -> bool
{
    auto const it = s.services.find(id);
    if (it == s.services.end())
        return false;
    auto& e = it->second.rollout;
    auto const newer = version > e.version;
    if (newer)
    {
        e.version = version;
        e.stored = value;
    }
    if (!is_further(value, e.value) && (!newer || is_further(e.value, value)))
        return false;
    auto const changed = e.value.phase != value.phase ||
                         e.value.step != value.step || e.value.id != value.id;
    e.value = value;
    if (changed)
        out.push_back(report_fact{rollout_changed{it->second.info.name,
            value.id, value.step, value.phase, value.fault}});
    return true;
}

/// Stops the new version of a rollout.
///
/// @returns False if the rollout is not the service's or was stopped before.
auto stop_version(service_entry& service, std::uint32_t id, rollout_fault fault)
    -> bool
{
    if (policy_of(service).id != id ||
        service.rollout.fault != rollout_fault::none)
        return false;
    service.rollout.fault = fault;
    return true;
}

/// Outcomes of a service's two versions that all owners together have seen, as
/// far as this node knows.
auto all_outcomes(node_state const& s, service_entry const& service)
    -> version_outcomes
{
    auto const id = policy_of(service).id;
    auto const& e = service.rollout;
    auto all = version_outcomes{{}, id, e.before, e.after};
    for (auto const& [owner, seen] : e.reported)
        if (owner != s.self && seen.id == id)
        {
            all.before = sum_of(all.before, seen.before);
            all.after = sum_of(all.after, seen.after);
        }
    return all;
}

/// True if the new version looks faulty, though there may be too few requests
/// to be sure.
auto looks_faulty(node_state const& s, service_entry const& service) -> bool
{
    auto policy = policy_of(service);
    policy.min_samples = 1;
    auto const all = all_outcomes(s, service);
    return compare_versions(all.before, all.after, policy) !=
           rollout_fault::none;
}

/// Stops the new version here and at all peers if the outcomes show a fault.
auto stop_if_faulty(node_state& s, service_id id, version_record const& before,
    version_record const& after, commands& out) -> void
{
    auto& service = s.services.at(id);
    auto const& policy = policy_of(service);
    if (service.rollout.value.phase != rollout_phase::running)
        return;
    auto const fault = compare_versions(before, after, policy);
    if (fault == rollout_fault::none ||
        !stop_version(service, policy.id, fault))
        return;
    out.push_back(
        report_fact{version_stopped{service.info.name, policy.id, fault}});
    broadcast(s, version_fault{id, policy.id, fault}, {});
}

/// Sends the outcomes seen here to the driver of a rollout.
auto report_outcomes(node_state& s, service_id id, service_entry const& service)
    -> void
{
    auto const& e = service.rollout;
    auto const driver = driver_of(s, id);
    if (e.value.phase == rollout_phase::running && e.after.requests > 0 &&
        driver != instance_id{})
        post(s, driver,
            version_outcomes{id, policy_of(service).id, e.before, e.after});
}

/// Reads the stored rollout, starts it, or writes the step that is due. A
/// version that looks faulty is not completed before there are enough requests
/// to be sure.
auto advance_rollout(node_state& s, service_id id, service_entry& service,
    time_point now, commands& out) -> void
{
    auto& e = service.rollout;
    auto const& policy = policy_of(service);
    if (e.in_progress)
        return;
    if (!e.loaded)
    {
        e.in_progress = true;
        out.push_back(rollout_read{id});
        return;
    }
    if (is_further(e.value, e.stored))
        return write_rollout(id, e, e.value, out);
    auto const token = fresh_id<claim_token>(s);
    if (e.value.id < policy.id)
        return write_rollout(
            id, e, first_step(policy, wall_ms(s, now), token), out);
    auto const next =
        next_step(e.value, policy, e.fault, wall_ms(s, now), token);
    auto const hold = next && next->phase == rollout_phase::completed &&
                      looks_faulty(s, service);
    if (next && !hold)
        write_rollout(id, e, *next, out);
}

} // namespace

auto choose_version_for(service_entry const& service, run_id const& run)
    -> version_choice
{
    auto const& policy = policy_of(service);
    auto const& e = service.rollout;
    if (policy.id == 0)
        return version_choice::any;
    if (e.value.id != policy.id || e.fault != rollout_fault::none)
        return version_choice::old_only;
    return hash_percent(run) < share_percent(e.value, policy)
               ? version_choice::new_first
               : version_choice::old_only;
}

auto matches_version(
    target const& t, rollout_policy const& policy, version_choice c) -> bool
{
    return c == version_choice::any ||
           (c == version_choice::new_first) == (t.version == policy.to);
}

auto record_version_result(node_state& s, target const& t, bool failed,
    double latency_us, commands& out) -> void
{
    auto const it = s.services.find(t.service);
    if (it == s.services.end() || policy_of(it->second).id == 0)
        return;
    auto& service = it->second;
    auto const& policy = policy_of(service);
    auto& e = service.rollout;
    auto& record = t.version == policy.to ? e.after : e.before;
    record = with_result(record, failed, latency_us);
    stop_if_faulty(s, it->first, e.before, e.after, out);
}

auto drive_rollouts(node_state& s, time_point now, commands& out) -> void
{
    auto ids = std::vector<service_id>{};
    for (auto const& [id, service] : s.services)
        if (policy_of(service).id != 0)
            ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (auto const id : ids)
    {
        auto& service = s.services.at(id);
        if (is_driver(s, id))
            advance_rollout(s, id, service, now, out);
        else
        {
            service.rollout.loaded = false;
            report_outcomes(s, id, service);
        }
        if (service.rollout.version.revision > 0)
        {
            auto const peers = random_peers(s, 1);
            for (auto const peer : peers)
                post(s, peer,
                    rollout_update{
                        id, service.rollout.version, service.rollout.value});
        }
    }
}

auto on_rollout_stored(node_state& s, rollout_stored const& e, commands& out)
    -> void
{
    auto const it = s.services.find(e.service);
    if (it == s.services.end())
        return;
    auto& known = it->second.rollout;
    known.in_progress = false;
    known.loaded = e.version.era >= s.platform_era;
    if (e.version == known.version)
        known.stored = e.value;
    if (adopt_if_newer(s, e.service, e.version, e.value, out))
        broadcast(s, rollout_update{e.service, e.version, e.value}, {});
}

auto reload_rollouts(node_state& s) -> void
{
    for (auto& [id, service] : s.services)
        service.rollout.loaded = false;
}

auto on_rollout_failed(node_state& s, rollout_failed const& e) -> void
{
    auto const it = s.services.find(e.service);
    if (it == s.services.end())
        return;
    it->second.rollout.in_progress = false;
    it->second.rollout.loaded = false;
}

auto on_rollout_update(
    node_state& s, instance_id, rollout_update const& m, commands& out) -> void
{
    adopt_if_newer(s, m.service, m.version, m.value, out);
}

auto on_version_outcomes(node_state& s, instance_id from,
    version_outcomes const& m, commands& out) -> void
{
    auto const it = s.services.find(m.service);
    if (it == s.services.end() || policy_of(it->second).id != m.id)
        return;
    auto& e = it->second.rollout;
    e.reported[from] = m;
    auto const all = all_outcomes(s, it->second);
    stop_if_faulty(s, m.service, all.before, all.after, out);
}

auto on_version_fault(node_state& s, version_fault const& m, commands& out)
    -> void
{
    auto const it = s.services.find(m.service);
    if (it == s.services.end() || !stop_version(it->second, m.id, m.fault))
        return;
    out.push_back(
        report_fact{version_stopped{it->second.info.name, m.id, m.fault}});
}

} // namespace knapweedstream
