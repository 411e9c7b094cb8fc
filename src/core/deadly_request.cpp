#include "core/deadly_request.hpp"

#include "core/leaf.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto max_known_safe = 65'536u; ///< Fingerprints kept at most.

auto ban(node_state& s, fingerprint print, time_point now, commands& out)
    -> void
{
    auto next = s.suspicions[print];
    next.banned_until = now + s.init.limits.fingerprint_ban;
    s.suspicions[print] = next;
    out.push_back(report_fact{request_banned{print}});
}

/// Drops suspicions older than `fingerprint_ban` and bans that have ended,
/// except while an attempt runs.
auto expire_suspicions(node_state& s, time_point now) -> void
{
    std::erase_if(s.suspicions,
        [&](auto const& it)
        {
            auto const& v = it.second;
            return !v.running && now > v.banned_until &&
                   now - v.since > s.init.limits.fingerprint_ban;
        });
}

/// True if both may be the same loss, detected on two connections. The boot id
/// is 0 until the target's next report, so 0 matches any.
auto is_same_loss(lost_target const& a, lost_target const& b) -> bool
{
    return a.target == b.target &&
           (a.boot == b.boot || a.boot == boot_id{} || b.boot == boot_id{});
}

/// Starts to suspect a request after the first loss.
auto suspect(node_state& s, fingerprint print, lost_target const& lost,
    time_point now) -> void
{
    expire_suspicions(s, now);
    s.suspicions.emplace(print, suspicion{1, false, lost, now, {}});
}

/// Bans a request here and at all live peers.
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

auto begin_suspect_attempt(node_state& s, target_entry& t, attempt const& a)
    -> void
{
    t.suspect_attempt = a.id;
    auto next = s.suspicions.at(a.print);
    next.running = true;
    s.suspicions.at(a.print) = next;
}

auto end_suspect_attempt(node_state& s, target_entry& t, attempt const& a)
    -> bool
{
    if (t.suspect_attempt != a.id)
        return false;
    t.suspect_attempt = {};
    auto const it = s.suspicions.find(a.print);
    if (it != s.suspicions.end())
        it->second.running = false;
    return true;
}

auto on_reported_loss(node_state& s, fingerprint print, lost_target const& lost,
    time_point now, commands& out) -> void
{
    if (!is_suspected(s, print))
        return suspect(s, print, lost, now);
    auto const& first = s.suspicions.at(print).first;
    if (lost != lost_target{} && !is_same_loss(lost, first) &&
        !is_banned(s, print, now))
        ban_everywhere(s, print, now, out);
}

auto on_target_lost(node_state& s, attempt const& a, bool confirming,
    time_point now, commands& out) -> void
{
    auto const& t = s.targets.at(a.target).value;
    auto const* shard = find_shard(s, t.service, t.shard);
    if (shard == nullptr || !shard->share.primary)
        return;
    auto const lost = lost_target{a.target, a.boot};
    if (!is_suspected(s, a.print))
        return suspect(s, a.print, lost, now);
    // A connection that is closed late may report the first loss again.
    auto const again = is_same_loss(s.suspicions.at(a.print).first, lost);
    if (confirming && !again && !is_banned(s, a.print, now))
        ban_everywhere(s, a.print, now, out);
}

auto clear_suspicion(node_state& s, fingerprint print) -> void
{
    if (s.suspicions.empty())
        return;
    auto const it = s.suspicions.find(print);
    if (it != s.suspicions.end() && it->second.banned_until == time_point{})
        s.suspicions.erase(it);
}

auto mark_known_safe(node_state& s, fingerprint print) -> void
{
    if (!s.known_safe.emplace(print, true).second)
        return;
    s.known_safe_order.push_back(print);
    if (s.known_safe_order.size() <= max_known_safe)
        return;
    s.known_safe.erase(s.known_safe_order.front());
    s.known_safe_order.pop_front();
}

auto on_deadly_notice(node_state& s, deadly_notice const& m, time_point now,
    commands& out) -> void
{
    if (!is_banned(s, m.request_fingerprint, now))
        ban(s, m.request_fingerprint, now, out);
}

} // namespace knapweedstream
