#include "core/dispatch/follow.hpp"

#include <algorithm>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

auto watch(followed f, dispatch_limits const& limits) -> follow_step
{
    f.phase = watching{};
    auto out = commands{store_watch{f.kind, f.revision, limits.watch_wait}};
    return {std::move(f), std::move(out)};
}

auto pause(followed f, time_point until) -> follow_step
{
    f.phase = pausing{until};
    return {std::move(f), {wake_at{until}}};
}

} // namespace

auto resume(followed const& f, dispatch_limits const& limits, time_point now)
    -> follow_step
{
    auto const* paused = std::get_if<pausing>(&f.phase);
    if (paused == nullptr || now < paused->until)
        return {f, {}};
    if (f.revision != 0)
        return watch(f, limits);
    auto next = f;
    next.phase = listing{};
    return {std::move(next), {store_list{f.kind, {}}}};
}

auto with_page(followed const& f, store_listed const& page,
    dispatch_limits const& limits) -> follow_step
{
    auto const* before = std::get_if<listing>(&f.phase);
    if (before == nullptr)
        return {f, {}};
    auto list = *before;
    if (list.revision == 0)
        list.revision = page.revision;
    list.objects.insert(
        list.objects.end(), page.objects.begin(), page.objects.end());
    auto next = f;
    next.failures = 0;
    if (!page.next.empty())
    {
        next.phase = std::move(list);
        return {std::move(next), {store_list{f.kind, page.next}}};
    }
    next.revision = list.revision;
    return watch(std::move(next), limits);
}

auto with_changes(followed const& f, store_changed const& e,
    dispatch_limits const& limits, time_point now) -> follow_step
{
    if (!std::holds_alternative<watching>(f.phase))
        return {f, {}};
    auto next = f;
    next.failures = 0;
    next.revision = std::max(f.revision, e.revision);
    if (e.changes.empty())
        return watch(std::move(next), limits);
    return pause(std::move(next), now + limits.watch_pause);
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
    constexpr auto most_doublings = 10u;
    auto const doubled =
        limits.store_retry_first * (1 << std::min(f.failures, most_doublings));
    auto const wait = std::min(doubled, limits.store_retry_most);
    auto const spread = duration{static_cast<duration::rep>(
        static_cast<double>(duration{wait}.count()) * (0.75 + jitter / 2))};
    auto next = f;
    ++next.failures;
    return pause(std::move(next), now + spread);
}

} // namespace knapweedstream::dispatch
