#include "core/dispatch/store_contact.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

auto is_contact_lost(store_failure why) -> bool
{
    switch (why)
    {
    case store_failure::unreachable:
    case store_failure::timeout:
    case store_failure::busy:
        return true;
    case store_failure::unreadable:
    case store_failure::conflict:
    case store_failure::missing:
    case store_failure::outdated:
        break;
    }
    return false;
}

auto with_answer(store_contact c, store_version version) -> store_contact
{
    c.probing.reset();
    return with_relayed_version(c, version);
}

auto with_relayed_version(store_contact c, store_version version)
    -> store_contact
{
    c.newest = std::max(c.newest, version);
    return c;
}

auto with_failed_call(store_contact c, follow_state const& f, store_failure why,
    time_point now) -> store_contact
{
    if (!is_contact_lost(why) || f.attached)
        return c;
    // A kind that fails time and again says nothing new about the others.
    if (f.failures == 0)
        c.doubt_since = now;
    if (!c.probing)
        c.probing = f.kind;
    return c;
}

auto is_in_doubt(store_contact const& c, follow_state const& f) -> bool
{
    auto const pending = std::holds_alternative<watching>(f.phase) ||
                         std::holds_alternative<listing>(f.phase);
    return pending && f.called_at <= c.doubt_since;
}

auto check_time(follow_state const& f, dispatch_limits const& limits)
    -> time_point
{
    return std::max(f.called_at, f.checked_at) + check_interval(f.kind, limits);
}

auto needs_check(store_contact const& c, follow_state const& f,
    dispatch_limits const& limits, time_point now) -> bool
{
    auto const waits = std::holds_alternative<watching>(f.phase);
    if (!waits || f.failures > 0 || f.check_pending || f.attached)
        return false;
    if (now < check_time(f, limits))
        return false;
    return f.kind == store_kind::targets || c.newest > f.confirmed;
}

} // namespace knapweedstream::dispatch
