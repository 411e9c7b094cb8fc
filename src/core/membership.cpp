#include "core/membership.hpp"

#include "core/config_store.hpp"
#include "core/leaf.hpp"
#include "core/owner.hpp"
#include "core/ownership.hpp"
#include "core/platform_era.hpp"
#include "core/shard_view.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto rtt_multiple = 4.0; ///< Owner timeout in round trips.
constexpr auto watcher_count = 3u; ///< Instances that watch the configuration.
/// Rendezvous key for choosing the watchers; "watc" in ASCII.
constexpr auto watch_key = std::uint64_t{0x77617463};

/// A random member if it takes work, else none. Heartbeats carry it, so that
/// all instances eventually learn of each other.
auto random_member(node_state& s) -> std::vector<instance_info>
{
    if (s.members.empty())
        return {};
    auto it = s.members.begin();
    std::advance(it,
        static_cast<std::ptrdiff_t>(draw_below(s.random, s.members.size())));
    if (!takes_work(it->second))
        return {};
    return {it->second.info};
}

auto make_heartbeat(node_state& s, bool reply, std::uint64_t sequence)
    -> heartbeat
{
    auto self = s.init.self;
    self.leaving = s.leaving;
    return {self, s.init.incarnation, sequence, reply, config_digest(s),
        view_digest(s, s.self), s.platform_era, random_member(s)};
}

auto probe(node_state& s, instance_id id, time_point now) -> void
{
    auto& m = s.members.at(id);
    m = with_probe(m, now);
    ++s.stats.heartbeats;
    post(s, id, make_heartbeat(s, false, ++s.heartbeat_sequence));
}

/// Starts or ends watching the configuration by this node's rendezvous rank.
auto choose_watchers(node_state& s, commands& out) -> void
{
    auto const chosen =
        rendezvous(watch_key, owner_candidates(s), watcher_count);
    auto const on =
        std::find(chosen.begin(), chosen.end(), s.self) != chosen.end();
    if (on == s.watching_config)
        return;
    s.watching_config = on;
    out.push_back(watch_config{on});
}

/// Sends this node's shard views and warm targets to a peer that has joined or
/// restarted.
auto sync_peer(node_state& s, instance_id id) -> void
{
    send_views(s, id);
    auto warm_targets = std::vector<target_warmth>{};
    for (auto const& [key, t] : s.targets)
        if (is_warm(t.value))
            warm_targets.push_back({key, t.value.boot, true});
    std::sort(warm_targets.begin(), warm_targets.end());
    for (auto const& it : warm_targets)
        post(s, id, it);
}

auto add_member(node_state& s, instance_info const& info, time_point now,
    commands& out) -> void
{
    auto const id = id_of<instance_id>(info.name);
    auto m = member{};
    m.info = info;
    m.listed_at = now;
    s.members.emplace(id, m);
    out.push_back(peer_dial{id, info.peer_address});
}

/// Adds and probes an instance that this node does not know yet.
auto discover_member(node_state& s, instance_info const& info, time_point now,
    commands& out) -> void
{
    auto const id = id_of<instance_id>(info.name);
    if (id == s.self || s.members.contains(id))
        return;
    add_member(s, info, now, out);
    probe(s, id, now);
}

auto suspect_member(
    node_state& s, instance_id id, time_point now, commands& out) -> void
{
    auto& m = s.members.at(id);
    if (m.state == member_state::suspected)
        return;
    m = with_suspected(m);
    out.push_back(report_fact{peer_suspected{m.info.name}});
    rebuild_ownership(s, now, out);
}

/// Members to probe in this round: the least recently probed ones, up to
/// `heartbeat_fanout`.
auto due_for_probe(node_state const& s) -> std::vector<instance_id>
{
    auto ids = std::vector<instance_id>{};
    for (auto const& [id, m] : s.members)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end(),
        [&](instance_id a, instance_id b)
        {
            auto const& ma = s.members.at(a);
            auto const& mb = s.members.at(b);
            return ma.last_probed != mb.last_probed
                       ? ma.last_probed < mb.last_probed
                       : a < b;
        });
    auto const n =
        std::min<std::size_t>(ids.size(), s.init.limits.heartbeat_fanout);
    ids.resize(n);
    return ids;
}

} // namespace

auto announce_digest(node_state& s, instance_id peer) -> void
{
    post(s, peer, make_heartbeat(s, true, 0));
}

auto random_peers(node_state& s, std::uint32_t n, instance_id except)
    -> std::vector<instance_id>
{
    auto alive = std::vector<instance_id>{};
    for (auto const& [id, m] : s.members)
        if (m.state == member_state::alive && id != except)
            alive.push_back(id);
    auto chosen = std::vector<instance_id>{};
    while (chosen.size() < n && !alive.empty())
    {
        auto const i = draw_below(s.random, alive.size());
        chosen.push_back(alive[i]);
        alive.erase(alive.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return chosen;
}

auto can_take_work(node_state const& s, instance_id id) -> bool
{
    if (id == s.self)
        return true;
    auto const it = s.members.find(id);
    return it != s.members.end() && takes_work(it->second);
}

auto in_own_zone(node_state const& s, instance_id id) -> bool
{
    auto const it = s.members.find(id);
    return it != s.members.end() && it->second.info.zone == s.init.self.zone;
}

auto owner_timeout(node_state const& s, instance_id id) -> duration
{
    auto const it = s.members.find(id);
    auto const rtt = it == s.members.end() ? 0.0 : it->second.rtt_us;
    auto const by_rtt =
        duration{static_cast<duration::rep>(rtt * rtt_multiple)};
    return std::max<duration>(s.init.limits.owner_check, by_rtt);
}

auto probe_if_quiet(node_state& s, instance_id id, time_point now) -> void
{
    auto const it = s.members.find(id);
    if (it == s.members.end())
        return;
    auto const& m = it->second;
    auto const timeout = owner_timeout(s, id);
    if (now - m.last_heard > timeout && now - m.last_probed > timeout)
        probe(s, id, now);
}

auto check_peer(node_state& s, instance_id id, time_point now, commands& out)
    -> bool
{
    auto const it = s.members.find(id);
    if (it == s.members.end() || it->second.state != member_state::alive)
        return false;
    auto const timeout = owner_timeout(s, id);
    if (is_silent(it->second, timeout, now))
    {
        suspect_member(s, id, now, out);
        return false;
    }
    if (now - it->second.last_heard > timeout)
        probe_if_quiet(s, id, now);
    return true;
}

auto on_heard_from(
    node_state& s, instance_id from, time_point now, commands& out) -> void
{
    auto const it = s.members.find(from);
    if (it == s.members.end())
        return;
    auto const joined = it->second.state != member_state::alive;
    it->second = with_heard(it->second, now);
    if (!joined)
        return;
    out.push_back(report_fact{peer_joined{it->second.info.name}});
    rebuild_ownership(s, now, out);
    sync_peer(s, from);
}

auto on_heartbeat(node_state& s, instance_id from, heartbeat const& m,
    time_point now, commands& out) -> void
{
    if (!s.members.contains(from))
        add_member(s, m.self, now, out);
    auto& it = s.members.at(from);
    auto const restarted =
        it.incarnation != 0 && it.incarnation != m.incarnation;
    auto const leaving_changed = it.info.leaving != m.self.leaving;
    if (it.info.peer_address != m.self.peer_address)
        out.push_back(peer_dial{from, m.self.peer_address});
    if (m.reply && m.sequence != 0)
        it = with_rtt(it, it.last_probed, now);
    it.info = m.self;
    it.incarnation = m.incarnation;
    on_heard_from(s, from, now, out);
    if (leaving_changed)
        rebuild_ownership(s, now, out);
    if (restarted)
        sync_peer(s, from);
    if (!m.reply)
        post(s, from, make_heartbeat(s, true, m.sequence));
    if (observe_platform_era(s, m.platform_era, now, out))
        out.push_back(enter_era{m.platform_era});
    for (auto const& known : m.known)
        discover_member(s, known, now, out);
    if (m.view_digest != view_digest(s, from))
        post(s, from, views_request{});
    if (m.config_digest != config_digest(s))
        request_configs(s, from, now);
}

auto on_heartbeat_due(node_state& s, time_point now, commands& out) -> void
{
    arm(s, now + s.init.limits.heartbeat, heartbeat_due{});
    auto silent = std::vector<instance_id>{};
    for (auto const& [id, m] : s.members)
        if (m.state == member_state::alive &&
            is_silent(m, s.init.limits.peer_timeout, now))
            silent.push_back(id);
    for (auto const id : silent)
        suspect_member(s, id, now, out);
    for (auto const id : due_for_probe(s))
        probe(s, id, now);
    choose_watchers(s, out);
}

auto on_instances_listed(node_state& s, instances_listed const& e,
    time_point now, commands& out) -> void
{
    for (auto const& it : e.instances)
    {
        auto const id = id_of<instance_id>(it.name);
        if (id == s.self || it.leaving)
            continue;
        auto const known = s.members.find(id);
        if (known != s.members.end())
        {
            known->second.listed_at = now;
            continue;
        }
        discover_member(s, it, now, out);
    }
    auto const forget_after = seconds{60};
    auto gone = std::vector<instance_id>{};
    for (auto const& [id, m] : s.members)
        if (m.state != member_state::alive &&
            now - m.listed_at > forget_after &&
            now - m.last_heard > forget_after)
            gone.push_back(id);
    for (auto const id : gone)
    {
        s.members.erase(id);
        s.outbox.erase(id);
        out.push_back(peer_drop{id});
    }
}

auto on_peer_suspicion(node_state& s, peer_suspicion const& m, time_point now)
    -> void
{
    if (!s.members.contains(m.peer) || !can_take_work(s, m.peer))
        return;
    probe(s, m.peer, now);
    arm(s, now + owner_timeout(s, m.peer) + duration{1},
        peer_check_due{m.peer});
}

auto on_peer_check_due(node_state& s, peer_check_due const& e, time_point now,
    commands& out) -> void
{
    check_peer(s, e.peer, now, out);
}

auto reset_unanswered_probes(node_state& s, time_point now) -> void
{
    for (auto& [id, m] : s.members)
        if (m.unanswered_since != time_point{})
            m.unanswered_since = now;
}

} // namespace knapweedstream
