#include "core/dispatch/version_admission.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Longest time for which a version waits until the orders are read; the store
/// may be unreachable while the old targets leave.
constexpr auto max_wait_for_orders = milliseconds{4'000};

} // namespace

auto with_present(version_admission const& v,
    std::set<std::string> const& versions, time_point now) -> version_admission
{
    auto next = v;
    std::erase_if(next.present,
        [&](auto const& it) { return !versions.contains(it.first); });
    std::erase_if(next.checked,
        [&](std::string const& it) { return !versions.contains(it); });
    for (auto const& it : versions)
        next.present.emplace(it, now);
    return next;
}

auto with_orders_read(version_admission const& v) -> version_admission
{
    auto next = v;
    for (auto const& [version, since] : v.present)
        next.checked.insert(version);
    return next;
}

auto with_order_seen(version_admission const& v, std::string const& version,
    bool rolled_back) -> version_admission
{
    auto next = with_orders_read(v);
    if (rolled_back)
        next.rolled_back.insert(version);
    else
        next.rolled_back.erase(version);
    return next;
}

auto needs_orders(version_admission const& v) -> bool
{
    return v.present.size() > 1 &&
           std::any_of(v.present.begin(), v.present.end(),
               [&](auto const& it) { return !v.checked.contains(it.first); });
}

auto admits_version(version_admission const& v, std::string const& version,
    time_point now) -> bool
{
    if (v.present.size() <= 1)
        return true;
    if (v.rolled_back.contains(version))
        return false;
    auto const it = v.present.find(version);
    return it == v.present.end() || v.checked.contains(version) ||
           now - it->second >= max_wait_for_orders;
}

} // namespace knapweedstream::dispatch
