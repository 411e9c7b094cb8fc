#include "core/dispatch/link_shares.hpp"

#include "core/dispatch/pool.hpp"
#include "core/dispatch/sharing.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Connection limit of a target if the service states none.
constexpr auto default_max_connections = 30u;

/// All known instances, including this one even if it is not recorded yet.
auto all_instances(dispatch_state const& s) -> std::vector<instance_record>
{
    auto all = std::vector<instance_record>{};
    for (auto const& [name, it] : s.instances)
        all.push_back(it);
    if (!s.instances.contains(s.init.self.name))
        all.push_back(s.init.self);
    return all;
}

/// Connections to one target that the instances divide among themselves. The
/// rest is for borrowed connections and, if the limits allow, for one new
/// connection from each instance to one of the service's targets.
auto used_connections(dispatch_state const& s, service_entry const& service,
    std::size_t instances) -> std::uint32_t
{
    auto const accepted = service.policy.max_connections == 0
                              ? default_max_connections
                              : service.policy.max_connections;
    auto const targets = std::max<std::size_t>(1, service.targets.size());
    auto const wanted =
        static_cast<double>((instances + targets - 1) / targets);
    auto const least = s.init.limits.min_connection_share * accepted;
    auto const most = s.init.limits.max_connection_share * accepted;
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

/// Chooses the targets that are connected to before a request needs them: the
/// nearest of those that this instance has a share of. Equally near ones are
/// ordered by a hash, so that instances choose different targets.
auto choose_preconnected(
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
    auto near = s.init.limits.preconnect_near;
    auto far = s.init.limits.preconnect_far;
    for (auto* t : order)
    {
        auto& left = t->distance == proximity::far ? far : near;
        t->share->to_preconnect = left > 0;
        left -= left > 0 ? 1 : 0;
    }
}

/// Computes this instance's shares of the connections to a service's targets.
auto share_connections(
    dispatch_state& s, service_entry const& service, time_point now) -> void
{
    auto const instances = all_instances(s);
    auto const all = shared_targets(s, service, instances.size());
    auto const shares = connection_shares(all, instances, s.init.self);
    for (std::size_t i = 0; i < all.size(); ++i)
        s.targets.at(all[i].id).share = link_share{shares[i], false};
    choose_preconnected(s, service, now);
}

} // namespace

auto share_of(dispatch_state& s, target_entry& t, time_point now) -> link_share
{
    auto const it = s.services.find(t.service);
    if (!t.share && t.listed && it != s.services.end())
        share_connections(s, it->second, now);
    return t.share.value_or(link_share{});
}

auto invalidate_shares(dispatch_state& s, service_id service) -> void
{
    auto const it = s.services.find(service);
    if (it == s.services.end())
        return;
    for (auto const id : it->second.targets)
        s.targets.at(id).share.reset();
}

auto invalidate_all_shares(dispatch_state& s) -> void
{
    for (auto& [id, t] : s.targets)
        t.share.reset();
}

} // namespace knapweedstream::dispatch
