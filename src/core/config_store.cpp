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
constexpr auto max_earlier = std::size_t{8}; ///< Configurations remembered.
/// Time that the operator's next write has to replace a configuration of which
/// it is not known whether it is newer than the one in force.
constexpr auto settle_time = seconds{2};

/// What a configuration of a later era is, compared with the one in force.
enum class config_origin : std::uint8_t
{
    in_force,   ///< The same.
    older_copy, ///< An earlier one, as the platform had it before.
    written,    ///< Another one, written by the operator in that era.
    unknown,    ///< Perhaps earlier, perhaps written in that era.
};

auto is_same_content(customer_config a, customer_config const& b) -> bool
{
    a.version = b.version;
    return a == b;
}

/// Compares a configuration of a later era with what is known of the customer.
/// A number is given out once in an era, so another content under a known
/// number was written since.
auto origin_of(customer_entry const& e, customer_config const& c)
    -> config_origin
{
    auto const number = c.version.revision;
    auto known_number = e.config.version.revision <= number;
    if (is_same_content(c, e.config))
        return config_origin::in_force;
    if (e.unsettled && e.unsettled->version.era == c.version.era &&
        e.unsettled->version < c.version)
        return config_origin::written;
    for (auto const& it : e.earlier)
    {
        if (it.version.revision != number)
            continue;
        if (is_same_content(c, it))
            return config_origin::older_copy;
        known_number = true;
    }
    return known_number ? config_origin::written : config_origin::unknown;
}

auto remember(customer_entry& e, customer_config const& c) -> void
{
    e.earlier.push_back(c);
    if (e.earlier.size() > max_earlier)
        e.earlier.erase(e.earlier.begin());
}

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
    next.stored = e.stored;
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

/// Replaces a customer's configuration, and notifies some peers.
auto apply_config(node_state& s, customer_config const& config,
    instance_id from, time_point now, commands& out) -> void
{
    auto const id = id_of<customer_id>(config.name);
    auto& e = s.customers[id];
    e.config = config;
    e.unsettled.reset();
    remember(e, config);
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
}

/// Keeps the configuration in force, under the version that the platform has
/// in its later era.
auto keep_config(node_state& s, customer_entry& e, customer_config const& read,
    instance_id from, commands& out) -> void
{
    if (!is_same_content(read, e.config))
        out.push_back(report_fact{config_kept{read.name, read.version}});
    remember(e, read);
    e.config.version = read.version;
    e.unsettled.reset();
    s.config_requested_at = {};
    gossip_digest(s, from);
}

/// Leaves the configuration in force until `settle_time` is over.
auto await_rewrite(node_state& s, customer_entry& e,
    customer_config const& read, time_point now) -> void
{
    if (e.unsettled && e.unsettled->version >= read.version)
        return;
    e.unsettled = read;
    arm(s, now + settle_time,
        config_settle_due{id_of<customer_id>(read.name), read.version});
}

} // namespace

auto config_digest(node_state const& s) -> std::uint64_t
{
    auto h = std::uint64_t{1};
    for (auto const& [id, c] : s.customers)
    {
        auto const& v = c.config.version;
        h = hash_name("config",
            h ^ id.value ^ (v.revision * 0x9e3779b9) ^ (v.era * 0x85ebca6b));
    }
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
    auto const known = s.customers.find(id_of<customer_id>(config.name));
    if (known == s.customers.end())
        return apply_config(s, config, from, now, out), true;
    auto& e = known->second;
    if (e.config.version >= config.version)
        return false;
    auto const origin = e.config.version.era == config.version.era
                            ? config_origin::written
                            : origin_of(e, config);
    switch (origin)
    {
    case config_origin::in_force:
    case config_origin::older_copy:
        keep_config(s, e, config, from, out);
        return true;
    case config_origin::written:
        apply_config(s, config, from, now, out);
        return true;
    case config_origin::unknown:
        await_rewrite(s, e, config, now);
        return false;
    }
    return false;
}

auto on_config_settle_due(node_state& s, config_settle_due const& due,
    time_point now, commands& out) -> void
{
    auto const known = s.customers.find(due.customer);
    if (known == s.customers.end() || !known->second.unsettled ||
        known->second.unsettled->version != due.version)
        return;
    auto const config = *known->second.unsettled;
    apply_config(s, config, {}, now, out);
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
