#include "core/shard_view.hpp"

#include "core/leaf.hpp"

#include <algorithm>

namespace knapweedstream
{

auto on_warmth(node_state& s, target_warmth const& m, time_point now,
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

auto tell_warmth(node_state& s, target const& t) -> void
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
    if (view == shard->told)
        return;
    shard->told = view;
    take_view(*shard, s.self, view);
    for (auto const& [peer, m] : s.members)
        if (m.state == member_state::alive)
            post(s, peer, shard_views{{view}});
}

auto take_view(shard_entry& shard, instance_id from, shard_view const& view)
    -> void
{
    shard.views[from] = view.versions;
    if (view.warming)
        shard.warming_by = from;
    else if (shard.warming_by == from)
        shard.warming_by = {};
}

} // namespace knapweedstream
