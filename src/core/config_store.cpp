#include "core/config_store.hpp"

#include "core/leaf.hpp"
#include "core/membership.hpp"
#include "core/ownership.hpp"
#include "core/routing.hpp"

#include <algorithm>
#include <set>

namespace knapweedstream
{

namespace
{

constexpr auto gossip_fanout = 4u; ///< Peers notified of a new configuration.

auto make_selector(node_policy const& p) -> selector
{
    switch (p.selector)
    {
    case selector_kind::random:
        return pick_random{};
    case selector_kind::round_robin:
        return pick_round_robin{};
    case selector_kind::two_choices:
        return pick_two_choices{};
    case selector_kind::credit:
        return pick_credit{};
    }
    return pick_two_choices{};
}

/// True if the configuration excludes the availability zone from service.
auto in_excluded_zone(customer_config const& c, std::string const& zone) -> bool
{
    return std::find(c.zones_out.begin(), c.zones_out.end(), zone) !=
           c.zones_out.end();
}

/// Adds a target or updates its configured values. A new address resets all
/// that was learned of the target.
auto upsert_target(node_state& s, service_id service, service_info const& info,
    target_info const& it, bool zone_out) -> target_id
{
    auto const id = id_of<target_id>(it.name);
    auto& entry = s.targets[id];
    auto next = entry.value;
    if (next.address != it.address)
        next = target{};
    next.id = id;
    next.service = service;
    next.shard = it.shard;
    next.address = it.address;
    next.zone = id_of<zone_id>(it.zone);
    next.version = it.version;
    next.limits = info.limits;
    next.zone_out = zone_out;
    next.removed = false;
    entry.value = next;
    return id;
}

auto replicas_of(service_entry const& service) -> std::set<target_id>
{
    auto all = std::set<target_id>{};
    for (auto const& it : service.shards)
        all.insert(it.replicas.begin(), it.replicas.end());
    return all;
}

/// Marks targets that are no longer configured as removed and closes their
/// connections.
auto remove_targets(node_state& s, std::set<target_id> const& before,
    std::set<target_id> const& after, commands& out) -> void
{
    for (auto const id : before)
    {
        if (after.contains(id))
            continue;
        s.targets.at(id).value.removed = true;
        close_connections(s, id, out);
    }
}

/// Drops the results observed during an earlier rollout; keeps the stored
/// state.
auto without_observations(rollout_entry const& e) -> rollout_entry
{
    auto next = rollout_entry{};
    next.version = e.version;
    next.value = e.value;
    return next;
}

/// Adds a service or updates its configuration. A changed shard map resets its
/// shards.
auto upsert_service(node_state& s, customer_config const& c,
    service_info const& info, commands& out) -> service_id
{
    auto const customer = id_of<customer_id>(c.name);
    auto const id = service_of(customer, info.name);
    auto& entry = s.services[id];
    auto const fresh = entry.info.name.empty();
    auto const remapped = !fresh && (entry.info.epoch != info.epoch ||
                                        entry.shards.size() != info.shards);
    entry.customer = customer;
    if (entry.info.rollout.id != info.rollout.id)
        entry.rollout = without_observations(entry.rollout);
    entry.info = info;
    if (fresh)
    {
        entry.latency.quantile = s.init.limits.hedge_quantile;
        entry.budget = retry_budget{s.init.limits.retry_budget_burst / 5,
            s.init.limits.retry_budget_ratio, s.init.limits.retry_budget_burst};
    }
    auto const before = replicas_of(entry);
    if (fresh || remapped)
        entry.shards.assign(info.shards, {});
    for (auto& shard : entry.shards)
    {
        shard.replica_selector = make_selector(s.init.policy);
        shard.replicas.clear();
    }
    for (auto const& it : info.targets)
    {
        auto const t =
            upsert_target(s, id, info, it, in_excluded_zone(c, it.zone));
        entry.shards[it.shard.value].replicas.push_back(t);
        if (in_excluded_zone(c, it.zone))
            close_connections(s, t, out);
    }
    remove_targets(s, before, replicas_of(entry), out);
    return id;
}

auto remove_service(node_state& s, service_id id, commands& out) -> void
{
    remove_targets(s, replicas_of(s.services.at(id)), {}, out);
    s.services.erase(id);
}

/// Sends the digest to random live peers, except the one that sent the change;
/// each requests what it lacks.
auto gossip_digest(node_state& s, instance_id from) -> void
{
    for (auto const peer : random_peers(s, gossip_fanout, from))
        announce_digest(s, peer);
}

} // namespace

auto config_digest(node_state const& s) -> std::uint64_t
{
    auto h = std::uint64_t{1};
    for (auto const& [id, c] : s.customers)
        h = hash_name("config", h ^ id.value ^ (c.config.version * 0x9e3779b9));
    return h;
}

auto request_configs(node_state& s, instance_id peer, time_point now) -> void
{
    constexpr auto request_timeout = milliseconds{100};
    if (s.config_requested_at != time_point{} &&
        now - s.config_requested_at < request_timeout)
        return;
    s.config_requested_at = now;
    post(s, peer, make_config_request(s));
}

auto make_config_request(node_state const& s) -> config_request
{
    auto r = config_request{};
    for (auto const& [id, c] : s.customers)
        r.have.push_back({id, c.config.version});
    return r;
}

auto accept_config(node_state& s, customer_config const& config,
    instance_id from, time_point now, commands& out) -> bool
{
    auto const id = id_of<customer_id>(config.name);
    auto const known = s.customers.find(id);
    if (known != s.customers.end() &&
        known->second.config.version >= config.version)
        return false;
    s.customers[id].config = config;
    auto kept = std::vector<service_id>{};
    for (auto const& it : config.services)
        kept.push_back(upsert_service(s, config, it, out));
    auto removed = std::vector<service_id>{};
    for (auto const& [key, entry] : s.services)
        if (entry.customer == id &&
            std::find(kept.begin(), kept.end(), key) == kept.end())
            removed.push_back(key);
    for (auto const key : removed)
        remove_service(s, key, out);
    ++s.stats.config_accepted;
    out.push_back(report_fact{config_accepted{config.name, config.version}});
    rebuild_ownership(s, now, out);
    s.config_requested_at = {};
    gossip_digest(s, from);
    return true;
}

auto on_config_request(node_state& s, instance_id from, config_request const& m)
    -> void
{
    for (auto const& entry : s.customers)
    {
        auto const id = entry.first;
        auto const& config = entry.second.config;
        auto const has = std::any_of(m.have.begin(), m.have.end(),
            [&](config_request::known const& it)
            { return it.customer == id && it.version >= config.version; });
        if (!has)
            post(s, from, config_update{config});
    }
}

} // namespace knapweedstream
