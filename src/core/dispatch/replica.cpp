#include "core/dispatch/replica.hpp"

#include <algorithm>
#include <set>

namespace knapweedstream::dispatch
{

namespace
{

/// How long deletions are remembered.
constexpr auto deletions_kept = seconds{60};

auto record(replica& r, stored_change const& c, time_point now) -> void
{
    auto& entry = r.entries[c.object.name];
    if (c.object.revision < entry.object.revision)
        return;
    entry = {c.object, c.deleted, now};
}

auto forget_old_deletions(replica& r, time_point now) -> void
{
    std::erase_if(r.entries,
        [&](auto const& it)
        {
            auto const& e = it.second;
            if (!e.deleted || now - e.at < duration{deletions_kept})
                return false;
            r.forgotten.revision =
                std::max(r.forgotten.revision, e.object.revision);
            return true;
        });
}

/// Empties a copy of an earlier era.
auto begin_copy(replica& r, std::uint64_t era) -> void
{
    if (r.forgotten.era != era)
        r = {{}, {era, 0}};
}

/// The object as it is at `now`: the remaining warm-up of a target has
/// decreased since it was received.
auto as_of(replica_entry const& e, time_point now) -> stored_object
{
    auto o = e.object;
    auto* target = std::get_if<target_registration>(&o.value);
    if (target == nullptr)
        return o;
    auto const age = std::chrono::duration_cast<milliseconds>(now - e.at);
    target->warmup_left = std::max(milliseconds{0}, target->warmup_left - age);
    return o;
}

} // namespace

auto record_list(replica& r, std::span<stored_object const> objects,
    store_version version, time_point now) -> void
{
    begin_copy(r, version.era);
    auto listed = std::set<std::string>{};
    for (auto const& it : objects)
    {
        listed.insert(it.name);
        record(r, {it, false}, now);
    }
    for (auto& [name, e] : r.entries)
        if (!e.deleted && !listed.contains(name) &&
            e.object.revision <= version.revision)
            e = {{name, version.revision, e.object.value}, true, now};
    r.forgotten = std::max(r.forgotten, version);
    forget_old_deletions(r, now);
}

auto record_changes(replica& r, std::span<stored_change const> changes,
    std::uint64_t era, time_point now) -> void
{
    begin_copy(r, era);
    for (auto const& it : changes)
        record(r, it, now);
    forget_old_deletions(r, now);
}

auto update_after(replica const& r, relay_position const& known,
    store_version version, time_point now) -> relay_update
{
    auto const complete =
        known.version.revision == 0 || known.version < r.forgotten;
    auto u = relay_update{known.kind, version, complete, {}};
    for (auto const& [name, e] : r.entries)
    {
        auto const wanted = u.complete
                                ? !e.deleted
                                : e.object.revision > known.version.revision;
        if (wanted)
            u.changes.push_back({as_of(e, now), e.deleted});
    }
    return u;
}

} // namespace knapweedstream::dispatch
