#include "core/deadly.hpp"

#include "core/leaf.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto max_harmless = 65'536u; ///< Fingerprints remembered.

auto ban(node_state& s, fingerprint print, time_point now, commands& out)
    -> void
{
    auto next = s.suspicions[print];
    next.banned_until = now + s.init.limits.fingerprint_ban;
    s.suspicions[print] = next;
    out.push_back(report_fact{request_banned{print}});
}

auto expire(node_state& s, time_point now) -> void
{
    std::erase_if(s.suspicions,
        [&](auto const& it)
        {
            auto const& v = it.second;
            return !v.running && now > v.banned_until &&
                   now - v.since > s.init.limits.fingerprint_ban;
        });
}

/// True if both are the same death, seen on two connections. A target that
/// has not been greeted since it was lost has no boot id.
auto is_same_death(lost_target const& a, lost_target const& b) -> bool
{
    return a.target == b.target &&
           (a.boot == b.boot || a.boot == boot_id{} || b.boot == boot_id{});
}

/// Holds a first death against the request.
auto suspect(node_state& s, fingerprint print, lost_target const& lost,
    time_point now) -> void
{
    expire(s, now);
    s.suspicions.emplace(print, suspicion{1, false, lost, now, {}});
}

auto ban_everywhere(
    node_state& s, fingerprint print, time_point now, commands& out) -> void
{
    ban(s, print, now, out);
    for (auto const& [peer, m] : s.members)
        if (m.state == member_state::alive)
            post(s, peer, deadly_notice{print});
}

} // namespace

auto is_banned(node_state const& s, fingerprint print, time_point now) -> bool
{
    auto const it = s.suspicions.find(print);
    return it != s.suspicions.end() && now < it->second.banned_until;
}

auto is_suspected(node_state const& s, fingerprint print) -> bool
{
    return !s.suspicions.empty() && s.suspicions.contains(print);
}

auto suspect_started(node_state& s, target_entry& t, attempt const& a) -> void
{
    t.suspect = a.id;
    auto next = s.suspicions.at(a.print);
    next.running = true;
    s.suspicions.at(a.print) = next;
}

auto suspect_ended(node_state& s, target_entry& t, attempt const& a) -> bool
{
    if (t.suspect != a.id)
        return false;
    t.suspect = {};
    auto const it = s.suspicions.find(a.print);
    if (it != s.suspicions.end())
        it->second.running = false;
    return true;
}

auto on_told_death(node_state& s, fingerprint print, lost_target const& lost,
    time_point now, commands& out) -> void
{
    if (!is_suspected(s, print))
        return suspect(s, print, lost, now);
    auto const& first = s.suspicions.at(print).first;
    if (lost != lost_target{} && !is_same_death(lost, first) &&
        !is_banned(s, print, now))
        ban_everywhere(s, print, now, out);
}

auto on_death(node_state& s, attempt const& a, bool confirming, time_point now,
    commands& out) -> void
{
    auto const& t = s.targets.at(a.to).value;
    auto const* shard = find_shard(s, t.service, t.shard);
    if (shard == nullptr || !shard->share.primary)
        return;
    auto const lost = lost_target{a.to, a.boot};
    if (!is_suspected(s, a.print))
        return suspect(s, a.print, lost, now);
    // A stale connection may show the first death once more.
    auto const again = is_same_death(s.suspicions.at(a.print).first, lost);
    if (confirming && !again && !is_banned(s, a.print, now))
        ban_everywhere(s, a.print, now, out);
}

auto absolve(node_state& s, fingerprint print) -> void
{
    if (s.suspicions.empty())
        return;
    auto const it = s.suspicions.find(print);
    if (it != s.suspicions.end() && it->second.banned_until == time_point{})
        s.suspicions.erase(it);
}

auto remember_harmless(node_state& s, fingerprint print) -> void
{
    if (!s.harmless.emplace(print, true).second)
        return;
    s.harmless_order.push_back(print);
    if (s.harmless_order.size() <= max_harmless)
        return;
    s.harmless.erase(s.harmless_order.front());
    s.harmless_order.pop_front();
}

auto on_deadly_notice(node_state& s, deadly_notice const& m, time_point now,
    commands& out) -> void
{
    if (!is_banned(s, m.request_fingerprint, now))
        ban(s, m.request_fingerprint, now, out);
}

} // namespace knapweedstream
