#include "core/dispatch/follow.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto no_wait = milliseconds{1}; ///< Of a watch that shows whether
                                          ///< the store is back.
constexpr auto exact_polls = 2u; ///< Lists that must not be stale.
constexpr auto most_doublings = 10u;

auto doubled(milliseconds first, std::uint32_t times, milliseconds most)
    -> milliseconds
{
    return std::min(first * (1 << std::min(times, most_doublings)), most);
}

auto watch(followed f, by_watch const& policy) -> follow_step
{
    auto const wait = f.failures > 0 ? no_wait : policy.wait;
    f.phase = watching{};
    auto out = commands{store_watch{f.kind, f.revision, wait}};
    return {std::move(f), std::move(out)};
}

auto list(followed f) -> follow_step
{
    auto const stale = f.lists >= exact_polls;
    f.phase = listing{};
    auto out = commands{store_list{f.kind, {}, stale}};
    return {std::move(f), std::move(out)};
}

auto pause(followed f, time_point until) -> follow_step
{
    f.phase = pausing{until};
    return {std::move(f), {wake_at{until}}};
}

} // namespace

auto policy_of(store_kind kind, dispatch_limits const& limits)
    -> follow_policy
{
    switch (kind)
    {
    case store_kind::targets:
        return by_watch{limits.watch_wait, limits.targets_pause};
    case store_kind::instances:
        return by_poll{limits.poll_first, limits.poll_most};
    case store_kind::configuration:
    case store_kind::evacuations:
    case store_kind::rollouts:
        break;
    }
    return by_watch{limits.watch_wait, limits.watch_pause};
}

auto resume(followed const& f, dispatch_limits const& limits, time_point now)
    -> follow_step
{
    auto const* paused = std::get_if<pausing>(&f.phase);
    if (paused == nullptr || now < paused->until)
        return {f, {}};
    auto const policy = policy_of(f.kind, limits);
    auto const* watched = std::get_if<by_watch>(&policy);
    if (watched != nullptr && f.revision != 0)
        return watch(f, *watched);
    return list(f);
}

auto with_page(followed const& f, store_listed const& page,
    dispatch_limits const& limits, time_point now) -> follow_step
{
    auto const* before = std::get_if<listing>(&f.phase);
    if (before == nullptr)
        return {f, {}};
    auto pages = *before;
    if (pages.revision == 0)
        pages.revision = page.revision;
    pages.objects.insert(
        pages.objects.end(), page.objects.begin(), page.objects.end());
    auto next = f;
    next.failures = 0;
    if (!page.next.empty())
    {
        next.phase = std::move(pages);
        auto const stale = f.lists >= exact_polls;
        return {std::move(next), {store_list{f.kind, page.next, stale}}};
    }
    next.revision = pages.revision;
    ++next.lists;
    auto const again = [&](by_poll const& it)
    {
        return pause(std::move(next),
            now + doubled(it.first, f.lists, it.most));
    };
    return std::visit(overloaded{[&](by_watch const& it)
                          { return watch(std::move(next), it); },
                          again},
        policy_of(f.kind, limits));
}

auto with_changes(followed const& f, store_changed const& e,
    dispatch_limits const& limits, time_point now) -> follow_step
{
    if (!std::holds_alternative<watching>(f.phase))
        return {f, {}};
    auto next = f;
    next.failures = 0;
    next.revision = std::max(f.revision, e.revision);
    auto const policy = policy_of(f.kind, limits);
    auto const* watched = std::get_if<by_watch>(&policy);
    if (watched == nullptr)
        return {f, {}};
    if (e.changes.empty())
        return watch(std::move(next), *watched);
    return pause(std::move(next), now + watched->pause);
}

auto without_history(followed const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    auto next = f;
    next.revision = 0;
    next.phase = pausing{now};
    return resume(next, limits, now);
}

auto with_failure(followed const& f, dispatch_limits const& limits,
    double jitter, time_point now) -> follow_step
{
    auto const wait =
        doubled(limits.store_retry_first, f.failures, limits.store_retry_most);
    auto const spread = duration{static_cast<duration::rep>(
        static_cast<double>(duration{wait}.count()) * (0.75 + jitter / 2))};
    auto next = f;
    ++next.failures;
    return pause(std::move(next), now + spread);
}

} // namespace knapweedstream::dispatch
