#include "core/dispatch/charges.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

auto settle_one(dispatch_state& s, service_id service, time_point now) -> void
{
    auto const it = s.services.find(service);
    if (it != s.services.end())
        it->second.budget = with_settled(it->second.budget, s.init.bounds, now);
}

} // namespace

auto settle(dispatch_state& s, attempt const& a, time_point now) -> void
{
    if (!a.charged)
        return;
    auto const first = s.attempts.find(a.first);
    if (first != s.attempts.end() && !first->second.charged)
        first->second.charged = true;
    else
        settle_one(s, s.targets.at(a.target).service, now);
}

auto keep_unread(dispatch_state& s, target_entry& t, attempt const& a,
    time_point now) -> void
{
    if (!a.charged)
        return;
    t.unread.push_back(now);
    arm(s, now + duration{unread_hold}, target_due{t.id});
}

auto settle_unread(dispatch_state& s, target_entry& t, time_point sent_at,
    time_point now) -> void
{
    auto const before =
        std::upper_bound(t.unread.begin(), t.unread.end(), sent_at);
    for (auto it = t.unread.begin(); it != before; ++it)
        settle_one(s, t.service, now);
    t.unread.erase(t.unread.begin(), before);
}

auto note_heard(target_entry& t, time_point now) -> void
{
    if (t.first_heard == time_point{})
        t.first_heard = now;
}

auto has_read_late(
    dispatch_state const& s, target_entry const& t, time_point now) -> bool
{
    constexpr auto still = seconds{2}; ///< Shorter ones are slow replies.
    if (t.first_sent == time_point{})
        return false;
    auto const heard = t.first_heard != time_point{};
    auto const waited = (heard ? t.first_heard : now) - t.first_sent;
    auto const window = duration{s.init.bounds.budget_window};
    return waited >= duration{still} &&
           (!heard || now - t.first_heard < window);
}

auto settle_expired(dispatch_state& s, target_entry& t, time_point now) -> void
{
    settle_unread(s, t, now - duration{unread_hold}, now);
}

} // namespace knapweedstream::dispatch
