#include "core/dispatch/link_shares.hpp"

#include "core/dispatch/pool.hpp"
#include "core/dispatch/sharing.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto unknown_accepted = 30u; ///< If the service states no limit.

/// All known instances; this one among them whether recorded or not.
auto fleet_of(dispatch_state const& s) -> std::vector<instance_record>
{
    auto all = std::vector<instance_record>{};
    for (auto const& [name, it] : s.instances)
        all.push_back(it);
    if (!s.instances.contains(s.init.self.name))
        all.push_back(s.init.self);
    return all;
}

/// Connections to one target that all instances together hold. What is left
/// takes one new connection for each shard and instance if there is enough for
/// both, and the connections that instances borrow.
auto used_connections(dispatch_state const& s, service_entry const& service,
    std::size_t instances) -> std::uint32_t
{
    auto const accepted = service.policy.max_connections == 0
                              ? unknown_accepted
                              : service.policy.max_connections;
    auto const targets = std::max<std::size_t>(1, service.targets.size());
    auto const wanted =
        static_cast<double>((instances + targets - 1) / targets);
    auto const least = s.init.limits.connection_share * accepted;
    auto const most = s.init.limits.most_connection_share * accepted;
    return static_cast<std::uint32_t>(
        std::max(least, std::min(most, accepted - wanted)));
}

auto shared_targets(dispatch_state const& s, service_entry const& service,
    std::size_t instances) -> std::vector<shared_target>
{
    auto const used = used_connections(s, service, instances);
    auto all = std::vector<shared_target>{};
    for (auto const id : service.targets)
        all.push_back({id, s.targets.at(id).region, used});
    return all;
}

/// Chooses the targets that are connected to ahead of need: some of those that
/// this instance has a share of, the nearest first, others for each instance.
auto choose_ahead(
    dispatch_state& s, service_entry const& service, time_point now) -> void
{
    auto order = std::vector<target_entry*>{};
    for (auto const id : service.targets)
        if (auto& t = s.targets.at(id); t.share->limit > 0 && is_usable(t, now))
            order.push_back(&t);
    auto const key = [&](target_entry const* t)
    {
        return std::pair{t->distance, hash_name(s.init.self.name, t->id.value)};
    };
    std::sort(order.begin(), order.end(),
        [&](auto const* a, auto const* b) { return key(a) < key(b); });
    auto near = s.init.limits.ahead_near;
    auto far = s.init.limits.ahead_far;
    for (auto* t : order)
    {
        auto& left = t->distance == proximity::far ? far : near;
        t->share->ahead = left > 0;
        left -= left > 0 ? 1 : 0;
    }
}

/// Works out what this instance may hold to each target of a service.
auto share_connections(
    dispatch_state& s, service_entry const& service, time_point now) -> void
{
    auto const fleet = fleet_of(s);
    auto const all = shared_targets(s, service, fleet.size());
    auto const shares = connection_shares(all, fleet, s.init.self);
    for (std::size_t i = 0; i < all.size(); ++i)
        s.targets.at(all[i].id).share = link_share{shares[i], false};
    choose_ahead(s, service, now);
}

} // namespace

auto share_of(dispatch_state& s, target_entry& t, time_point now) -> link_share
{
    auto const it = s.services.find(t.service);
    if (!t.share && t.listed && it != s.services.end())
        share_connections(s, it->second, now);
    return t.share.value_or(link_share{});
}

auto reshare(dispatch_state& s, service_id service) -> void
{
    auto const it = s.services.find(service);
    if (it == s.services.end())
        return;
    for (auto const id : it->second.targets)
        s.targets.at(id).share.reset();
}

auto reshare_all(dispatch_state& s) -> void
{
    for (auto& [id, t] : s.targets)
        t.share.reset();
}

} // namespace knapweedstream::dispatch
