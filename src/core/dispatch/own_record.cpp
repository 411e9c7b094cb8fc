#include "core/dispatch/own_record.hpp"

#include "core/dispatch/eras.hpp"

#include <algorithm>
#include <optional>

namespace knapweedstream::dispatch
{

namespace
{

/// This instance's record as the last list held it; empty if it did not.
auto listed_record(dispatch_state const& s) -> std::optional<stored_claim>
{
    auto const& name = s.init.self.name;
    auto const it = s.instances.find(name);
    auto const version = known_version(s, store_kind::instances, name);
    if (it == s.instances.end() || version.era != s.contact.era.value_or(0))
        return std::nullopt;
    return stored_claim{it->second.budget_claim, version};
}

auto write_record(dispatch_state& s, std::optional<std::uint64_t> replaced,
    commands& out) -> void
{
    auto r = s.init.self;
    r.budget_claim = s.claim.claimed;
    ++s.record_writes;
    s.written_claim = r.budget_claim;
    out.push_back(store_write_record{std::move(r), replaced});
}

} // namespace

auto ensure_record(dispatch_state& s, commands& out) -> void
{
    if (s.stop.requested)
        return;
    auto const listed = listed_record(s);
    auto wanted = s.init.self;
    wanted.budget_claim = s.claim.claimed;
    if (!listed)
        write_record(s, std::nullopt, out);
    else if (s.instances.at(wanted.name) != wanted)
        write_record(s, listed->version.revision, out);
}

auto list_instances_soon(dispatch_state& s, bool fresh, time_point now) -> void
{
    auto& f = s.follows[store_kind::instances];
    f = with_list_due(std::move(f), now + s.init.limits.poll_first, fresh);
    if (auto const* it = std::get_if<pausing>(&f.phase))
        arm(s, it->until, follow_due{store_kind::instances});
}

auto count_claims(dispatch_state& s, listing const& l, time_point now) -> void
{
    auto others = std::vector<instance_record>{};
    for (auto const& [name, it] : s.instances)
        if (name != s.init.self.name)
            others.push_back(it);
    s.claim = with_list(s.claim,
        {others, listed_record(s), l.oldest.era, l.begun, l.fresh},
        s.init.bounds.budget_window, now);
}

auto on_record_written(dispatch_state& s, store_written const& e,
    time_point now, commands& out) -> void
{
    s.record_writes -= s.record_writes > 0 ? 1 : 0;
    auto const last = s.record_writes == 0;
    if (e.failure == store_failure::missing)
        s.versions[e.kind].erase(s.init.self.name);
    if (s.stop.requested)
        return;
    if (e.failure == store_failure::conflict)
    {
        if (!listed_record(s))
            return write_record(s, 0, out);
        return list_instances_soon(s, true, now);
    }
    if (e.failure || !last)
        return;
    // A stale list does not undo what is known of it.
    auto& r = s.instances[s.init.self.name];
    r = s.init.self;
    r.budget_claim = s.written_claim;
    s.versions[e.kind][r.name] = version_of(e);
    s.claim = with_stored(s.claim, {s.written_claim, version_of(e)}, now);
    if (s.written_claim > std::max(s.claim.used, s.claim.next))
        list_instances_soon(s, true, now);
}

} // namespace knapweedstream::dispatch
