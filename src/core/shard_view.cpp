#include "core/shard_view.hpp"

#include "core/leaf.hpp"

#include <algorithm>

namespace knapweedstream
{

auto on_target_warmth(node_state& s, target_warmth const& m, time_point now,
    commands& out) -> void
{
    auto const it = s.targets.find(m.target);
    if (it == s.targets.end())
        return;
    auto& t = it->second;
    t.value = with_warmth(t.value, m.boot, m.warm);
    if (auto* shard = find_shard(s, t.value.service, t.value.shard))
        serve_queue(s, *shard, now, out);
}

auto announce_warmth(node_state& s, target const& t) -> void
{
    auto const* shard = find_shard(s, t.service, t.shard);
    if (shard == nullptr || !shard->owned)
        return;
    for (auto const owner : shard->owners)
        if (owner != s.self)
            post(s, owner, target_warmth{t.id, t.boot, is_warm(t)});
    refresh_view(s, t.service, t.shard);
}

auto refresh_view(node_state& s, service_id service, shard_id id) -> void
{
    auto* shard = find_shard(s, service, id);
    if (shard == nullptr || !shard->owned)
        return;
    auto view = shard_view{};
    view.service = service;
    view.shard = id;
    view.epoch = s.services.at(service).info.epoch;
    for (auto const it : shard->replicas)
    {
        auto const& t = s.targets.at(it).value;
        if (t.zone_out || t.draining)
            continue;
        view.versions.insert(
            view.versions.end(), t.versions.begin(), t.versions.end());
        view.warming = view.warming || (shard->share.primary &&
                                           !t.versions.empty() && !is_warm(t));
    }
    std::sort(view.versions.begin(), view.versions.end());
    view.versions.erase(std::unique(view.versions.begin(), view.versions.end()),
        view.versions.end());
    if (view == shard->announced)
        return;
    shard->announced = view;
    store_view(*shard, s.self, view);
    for (auto const& [peer, m] : s.members)
        if (m.state == member_state::alive)
            post(s, peer, shard_views{{view}, false});
}

auto store_view(shard_entry& shard, instance_id from, shard_view const& view)
    -> void
{
    if (view.versions.empty())
        shard.views.erase(from);
    else
        shard.views[from] = view.versions;
    if (view.warming)
        shard.warming_owner = from;
    else if (shard.warming_owner == from)
        shard.warming_owner = {};
}

auto view_digest(node_state const& s, instance_id from) -> std::uint64_t
{
    auto digest = std::uint64_t{0};
    for (auto const& [service, entry] : s.services)
        for (std::uint32_t i = 0; i < entry.shards.size(); ++i)
        {
            auto const& shard = entry.shards[i];
            auto const it = shard.views.find(from);
            if (it == shard.views.end() || it->second.empty())
                continue;
            auto h = hash_name("view", service.value + i);
            for (auto const version : it->second)
                h = hash_name("version", h ^ version);
            // Nodes iterate over services in different orders; exclusive or
            // gives the same digest in any order.
            digest ^= shard.warming_owner == from ? ~h : h;
        }
    return digest;
}

auto send_views(node_state& s, instance_id to) -> void
{
    auto m = shard_views{{}, true};
    for (auto const& [service, entry] : s.services)
        for (auto const& shard : entry.shards)
            if (shard.owned && !shard.announced.versions.empty())
                m.views.push_back(shard.announced);
    std::sort(m.views.begin(), m.views.end());
    post(s, to, std::move(m));
}

auto on_shard_views(node_state& s, instance_id from, shard_views const& m)
    -> void
{
    if (m.all)
        for (auto& [service, entry] : s.services)
            for (auto& shard : entry.shards)
                store_view(shard, from, {});
    for (auto const& it : m.views)
    {
        auto const found = s.services.find(it.service);
        if (found == s.services.end() || found->second.info.epoch != it.epoch ||
            it.shard.value >= found->second.shards.size())
            continue;
        store_view(found->second.shards[it.shard.value], from, it);
    }
}

} // namespace knapweedstream
