#include "core/target_health.hpp"

#include "core/leaf.hpp"
#include "core/rollout_driver.hpp"
#include "core/shard_view.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

auto available_replicas(node_state const& s, shard_entry const& shard,
    time_point now) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(shard.replicas.begin(), shard.replicas.end(),
            [&](target_id it)
            { return !is_unavailable(s.targets.at(it).value, now); }));
}

auto latency_of(attempt const& a, time_point now) -> double
{
    return static_cast<double>((now - a.sent_at).count());
}

} // namespace

auto is_booking(attempt const& a) -> bool
{
    return a.kind == attempt_kind::booking;
}

auto apply_report(node_state& s, target_entry& t, target_report const& report,
    commands& out) -> void
{
    auto const before = t.value;
    t.value = with_report(before, report);
    auto const restarted =
        before.boot != boot_id{} && before.boot != report.boot;
    if (restarted)
    {
        out.push_back(report_fact{target_restarted{t.value.id, report.boot}});
        announce_warmth(s, t.value);
    }
    if (before.versions != report.versions ||
        before.draining != report.draining)
        refresh_view(s, t.value.service, t.value.shard);
}

auto record_failure(
    node_state& s, target_entry& t, time_point now, commands& out) -> void
{
    auto const* shard = find_shard(s, t.value.service, t.value.shard);
    auto const others_available =
        shard != nullptr && available_replicas(s, *shard, now) > 1;
    auto const before = t.value.ejected_until;
    t.value = with_failure(t.value, s.init.limits,
        s.init.policy.ejection && others_available, now);
    if (t.value.ejected_until != before)
        out.push_back(report_fact{target_ejected{t.value.id}});
}

auto record_success(node_state& s, target_entry& t, attempt const& a,
    time_point now, commands& out) -> void
{
    auto const was_warm = is_warm(t.value);
    auto const latency = latency_of(a, now);
    t.value = with_success(t.value, latency, now);
    if (!was_warm && is_warm(t.value))
    {
        out.push_back(report_fact{target_warmed{t.value.id}});
        announce_warmth(s, t.value);
    }
    auto const it = s.services.find(t.value.service);
    if (it != s.services.end() && !is_booking(a))
        it->second.latency = observe(it->second.latency, latency);
    record_version_result(s, t.value, false, latency, out);
}

auto record_shed(node_state& s, target_entry& t, time_point now) -> void
{
    ++s.stats.sheds;
    auto const was_warm = is_warm(t.value);
    t.value = with_shed(t.value, now);
    if (was_warm && !is_warm(t.value))
        announce_warmth(s, t.value);
}

} // namespace knapweedstream
