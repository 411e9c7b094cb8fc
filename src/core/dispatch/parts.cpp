#include "core/dispatch/parts.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Puts an id into the first empty slot; drops it if there is none.
template <class Array, class Id>
auto put_in_free_slot(Array& slots, Id id) -> void
{
    auto const free = std::find(slots.begin(), slots.end(), Id{});
    if (free != slots.end())
        *free = id;
}

} // namespace

auto running_count(part const& p) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(p.running.begin(),
        p.running.end(), [](attempt_id id) { return id != attempt_id{}; }));
}

auto was_tried(part const& p, target_id id) -> bool
{
    return std::find(p.tried.begin(), p.tried.end(), id) != p.tried.end();
}

auto is_open(part const& p) -> bool
{
    return p.state != part_state::answered && p.state != part_state::failed;
}

auto required_coverage(route const& r) -> double
{
    auto const* it = std::get_if<to_shards>(&r.to);
    return it == nullptr ? 1.0 : it->min_coverage;
}

auto meets_coverage(request_entry const& e, std::uint32_t parts) -> bool
{
    constexpr auto rounding = 1e-9;
    return parts > 0 && static_cast<double>(parts) + rounding >=
                            required_coverage(*e.value.matched_route) *
                                static_cast<double>(e.parts.size());
}

auto covered_without_extra(request_entry const& e, time_point now) -> bool
{
    auto const late = now >= e.value.objective;
    auto const lacking = std::count_if(e.parts.begin(), e.parts.end(),
        [&](part const& p)
        {
            return p.state == part_state::failed ||
                   (is_open(p) && (late || running_count(p) == 0));
        });
    auto const n = static_cast<std::uint32_t>(e.parts.size());
    return meets_coverage(e, n - static_cast<std::uint32_t>(lacking));
}

auto urgency_of(request_entry const& e, attempt_kind kind, time_point now)
    -> urgency
{
    switch (kind)
    {
    case attempt_kind::probe:
        return urgency::optional;
    case attempt_kind::hedge:
        return urgency::useful;
    case attempt_kind::rescue:
    case attempt_kind::retry:
        return covered_without_extra(e, now) ? urgency::optional
                                             : urgency::needed;
    case attempt_kind::first:
        break;
    }
    return urgency::needed;
}

auto waits_to_retry(part const& p) -> bool
{
    return p.state == part_state::waiting && !p.queued &&
           p.retry_at != time_point{};
}

auto with_attempt(part const& p, attempt const& a) -> part
{
    auto next = p;
    put_in_free_slot(next.running, a.id);
    if (!was_tried(p, a.target))
        put_in_free_slot(next.tried, a.target);
    next.last_target = a.target;
    next.state = part_state::running;
    ++next.sends;
    ++next.runs;
    return next;
}

auto without_attempt(part const& p, attempt_id id) -> part
{
    auto next = p;
    std::replace(next.running.begin(), next.running.end(), id, attempt_id{});
    return next;
}

auto fail_part(request_entry& e, part& p, time_point now) -> void
{
    if (!is_open(p))
        return;
    p.state = part_state::failed;
    p.ended_at = now;
    e.pending_parts -= e.pending_parts > 0 ? 1 : 0;
}

auto find_part(dispatch_state& s, part_key const& key) -> part*
{
    auto const it = s.requests.find(key.request);
    return it == s.requests.end() ? nullptr : &it->second.parts[key.index];
}

} // namespace knapweedstream::dispatch
