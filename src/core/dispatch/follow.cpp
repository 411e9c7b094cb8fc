#include "core/dispatch/follow.hpp"

#include "core/backoff.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

/// Wait of a watch that only probes whether the store answers again.
constexpr auto probe_wait = milliseconds{1};
/// Time until the answer of a probe. A store that is silent is called again
/// soon, since it answers only calls that come after its return.
constexpr auto probe_timeout = milliseconds{700};
/// After so many failures each second probe waits longer, for a store that
/// answers slowly.
constexpr auto impatient_probes = 12u;
/// Time until the answer of a call that the store answers at once. Also added
/// to the wait of a watch.
constexpr auto call_timeout = milliseconds{2'000};
/// Number of changes in a batch from which more may be waiting in the store.
constexpr auto large_batch = 200u;
/// Number, from 0, of the polled list that must not be stale.
constexpr auto fresh_list_index = 1u;

/// Time until the answer of a watch.
auto watch_timeout(follow_state const& f, milliseconds wait) -> milliseconds
{
    auto const patient =
        f.failures == 0 ? !f.unsure
                        : f.failures >= impatient_probes && f.failures % 2 == 0;
    return !patient ? probe_timeout : wait + call_timeout;
}

/// True if a relay keeps the kind up to date, so that no call is needed.
auto is_relayed(follow_state const& f) -> bool
{
    return f.attached && f.known.revision != 0;
}

auto wait_for_relay(follow_state f) -> follow_step
{
    f.phase = relaying{};
    f.failures = 0;
    return {std::move(f), {}};
}

auto watch(follow_state f, by_watch const& policy, time_point now)
    -> follow_step
{
    if (is_relayed(f))
        return wait_for_relay(std::move(f));
    auto const probing = f.failures > 0 || f.unsure; // Does the store answer?
    auto const wait = probing ? probe_wait : policy.wait;
    auto const stale = probing || (policy.may_be_stale && !f.require_fresh);
    f.phase = watching{};
    f.called_at = now;
    auto out = commands{store_watch{
        f.kind, f.known.revision, wait, stale, watch_timeout(f, wait)}};
    return {std::move(f), std::move(out)};
}

/// True if a list may be stale. A watch brings a stale list up to date, unless
/// the store has compacted the changes in between.
auto may_be_stale(follow_state const& f, follow_policy const& policy) -> bool
{
    return std::visit(overloaded{[&](by_watch const&) { return !f.list_fresh; },
                          [&](by_poll const&)
                          {
                              return !f.list_fresh &&
                                     f.lists != fresh_list_index;
                          }},
        policy);
}

auto list(follow_state f, follow_policy const& policy, std::string after,
    time_point now) -> follow_step
{
    auto const stale = may_be_stale(f, policy);
    auto& pages = std::get<listing>(f.phase);
    pages.fresh = !stale && (pages.fresh || pages.pages == 0);
    if (pages.pages == 0)
        pages.begun = now;
    f.called_at = now;
    auto out = commands{store_list{f.kind, std::move(after), stale}};
    return {std::move(f), std::move(out)};
}

auto pause(follow_state f, time_point until) -> follow_step
{
    f.phase = pausing{until};
    return {std::move(f), {wake_at{until}}};
}

} // namespace

auto policy_of(store_kind kind, dispatch_limits const& limits) -> follow_policy
{
    switch (kind)
    {
    case store_kind::targets:
        return by_watch{limits.watch_wait, limits.targets_pause};
    case store_kind::instances:
        return by_poll{limits.poll_first, limits.poll_most};
    case store_kind::rollouts:
        return by_watch{limits.watch_wait, limits.watch_pause, true};
    case store_kind::reports:
        return by_watch{limits.watch_wait, limits.report_interval, true};
    case store_kind::configuration:
    case store_kind::evacuations:
        break;
    }
    return by_watch{limits.watch_wait, limits.watch_pause};
}

auto resume(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    auto const* paused = std::get_if<pausing>(&f.phase);
    if (paused == nullptr || now < paused->until)
        return {f, {}};
    if (is_relayed(f))
        return wait_for_relay(f);
    auto const policy = policy_of(f.kind, limits);
    auto const* watched = std::get_if<by_watch>(&policy);
    if (watched != nullptr && f.known.revision != 0)
        return watch(f, *watched, now);
    auto next = f;
    next.phase = listing{};
    return list(std::move(next), policy, {}, now);
}

auto with_added(listing pages, store_listed const& page) -> listing
{
    auto const version = version_of(page);
    pages.oldest = pages.pages == 0 ? version : std::min(pages.oldest, version);
    pages.newest = std::max(pages.newest, version);
    ++pages.pages;
    pages.objects.insert(
        pages.objects.end(), page.objects.begin(), page.objects.end());
    return pages;
}

auto is_cut(listing const& pages, store_listed const& page) -> bool
{
    return page.no_next ||
           (!page.next.empty() &&
               std::any_of(pages.objects.begin(), pages.objects.end(),
                   [&](stored_object const& it)
                   { return it.name == page.next; }));
}

auto with_cut_list(follow_state f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    f.cut = true;
    f.restarted_at.reset();
    f.list_fresh = true;
    return pause(std::move(f), now + limits.list_retry);
}

auto with_page(follow_state f, store_listed const& page,
    dispatch_limits const& limits, time_point now) -> follow_step
{
    auto* pages = std::get_if<listing>(&f.phase);
    if (pages == nullptr)
        return {std::move(f), {}};
    *pages = with_added(std::move(*pages), page);
    auto const policy = policy_of(f.kind, limits);
    f.failures = 0;
    f.unsure = false;
    if (!page.next.empty())
        return list(std::move(f), policy, page.next, now);
    f.cut = false;
    f.restarted_at.reset();
    f.known = pages->oldest;
    f.confirmed = f.known;
    auto const before = f.lists++;
    auto const again = [&](by_poll const& it)
    {
        f.list_fresh = false;
        return pause(
            std::move(f), now + backoff_delay(it.first, before, it.most));
    };
    return std::visit(overloaded{[&](by_watch const& it)
                          { return watch(std::move(f), it, now); },
                          again},
        policy);
}

auto with_changes(follow_state const& f, store_changed const& e,
    dispatch_limits const& limits, time_point now) -> follow_step
{
    if (!std::holds_alternative<watching>(f.phase))
        return {f, {}};
    auto next = f;
    next.failures = 0;
    next.discarded = 0;
    next.unsure = false;
    next.known = std::max(f.known, version_of(e));
    next.confirmed = std::max(f.confirmed, next.known);
    auto const policy = policy_of(f.kind, limits);
    auto const* watched = std::get_if<by_watch>(&policy);
    if (watched == nullptr)
        return {f, {}};
    if (is_relayed(next) || e.changes.empty() ||
        e.changes.size() >= large_batch)
        return watch(std::move(next), *watched, now);
    auto const length =
        f.low_priority ? limits.targets_idle_pause : watched->pause;
    return pause(std::move(next), now + length);
}

auto prioritized(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    auto next = f;
    next.low_priority = false;
    auto const waits = std::holds_alternative<pausing>(f.phase);
    if (!f.low_priority || !waits || f.failures > 0)
        return {std::move(next), {}};
    next.phase = pausing{now};
    return resume(next, limits, now);
}

auto check_interval(store_kind kind, dispatch_limits const& limits)
    -> milliseconds
{
    return kind == store_kind::targets ? limits.targets_check
                                       : limits.watch_check;
}

auto with_check(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    if (!std::holds_alternative<watching>(f.phase))
        return {f, {}};
    auto next = f;
    next.checked_at = now;
    next.check_pending = true;
    auto const timeout = check_interval(f.kind, limits);
    return {std::move(next), {store_check{f.kind, f.known.revision, timeout}}};
}

auto renewed(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    auto next = f;
    next.phase = pausing{now};
    return resume(next, limits, now);
}

auto is_check_of_watch(follow_state const& f, store_checked const& e) -> bool
{
    return std::holds_alternative<watching>(f.phase) &&
           e.since == f.known.revision && f.called_at <= f.checked_at;
}

auto has_missed_changes(follow_state const& f, store_checked const& e) -> bool
{
    return std::holds_alternative<watching>(f.phase) &&
           e.since == f.known.revision && !e.changes.empty();
}

auto with_checked(follow_state const& f, store_checked const& e,
    dispatch_limits const& limits, time_point now) -> follow_step
{
    auto const policy = policy_of(f.kind, limits);
    auto const* watched = std::get_if<by_watch>(&policy);
    auto next = f;
    if (e.since == f.known.revision)
        next.confirmed = std::max(f.confirmed, version_of(e));
    if (watched == nullptr || !has_missed_changes(f, e))
        return {std::move(next), {}};
    next.known = std::max(f.known, version_of(e));
    return watch(std::move(next), *watched, now);
}

auto without_history(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    auto next = f;
    next.known.revision = 0;
    next.list_fresh = true;
    auto const before = next.discarded++;
    if (before == 0)
        return renewed(next, limits, now);
    return pause(
        std::move(next), now + backoff_delay(limits.store_retry_first,
                                   before - 1, limits.store_retry_known));
}

auto relisted(follow_state const& f, dispatch_limits const& limits,
    time_point now) -> follow_step
{
    auto const stale_list =
        std::holds_alternative<listing>(f.phase) && !f.list_fresh;
    if (f.failures > 0 || (!stale_list && f.known.revision == 0))
        return {f, {}};
    auto next = f;
    next.known.revision = 0;
    next.list_fresh = true;
    return renewed(next, limits, now);
}

auto with_list_due(follow_state f, time_point due, bool fresh) -> follow_state
{
    if (f.failures > 0)
        return f;
    f.list_fresh = f.list_fresh || fresh;
    if (auto* it = std::get_if<pausing>(&f.phase))
        it->until = std::min(it->until, due);
    return f;
}

auto restarted(follow_state f, std::uint64_t era, time_point due,
    time_point now) -> follow_state
{
    f.known = {era, 0};
    f.confirmed = f.known;
    f.list_fresh = true;
    f.restarted_at = now;
    f.check_pending = false;
    auto const waits = std::holds_alternative<pausing>(f.phase);
    if (f.attached)
        f.phase = relaying{};
    else if (!waits || f.failures == 0)
        f.phase = pausing{due};
    return f;
}

auto with_relay(follow_state f) -> follow_state
{
    f.attached = true;
    if (std::holds_alternative<pausing>(f.phase) && is_relayed(f))
        return wait_for_relay(std::move(f)).next;
    return f;
}

auto without_relay(follow_state f, time_point until) -> follow_state
{
    f.attached = false;
    f.unsure = true;
    auto const paused = std::holds_alternative<pausing>(f.phase);
    if (std::holds_alternative<relaying>(f.phase) ||
        (paused && f.failures == 0))
        f.phase = pausing{until};
    return f;
}

auto with_relayed(follow_state f, store_version version, bool complete)
    -> follow_state
{
    if (!complete && f.known.revision == 0)
        return f;
    f.known = std::max(f.known, version);
    f.confirmed = std::max(f.confirmed, f.known);
    f.restarted_at.reset();
    return f;
}

auto with_failure(follow_state const& f, dispatch_limits const& limits,
    double jitter, time_point now) -> follow_step
{
    if (is_relayed(f))
        return wait_for_relay(f);
    auto const most = f.known.revision == 0 ? limits.store_retry_most
                                            : limits.store_retry_known;
    auto const wait = backoff_delay(limits.store_retry_first, f.failures, most);
    auto const spread = scaled(wait, 0.75 + jitter / 2);
    auto next = f;
    ++next.failures;
    next.unsure = false;
    // A probe that failed late has used up part of the time between probes.
    auto const probed =
        f.failures > 0 && !std::holds_alternative<pausing>(f.phase);
    auto const soonest = now + limits.store_retry_first / 2;
    auto const until =
        probed ? std::max(f.called_at + spread, soonest) : now + spread;
    return pause(std::move(next), until);
}

} // namespace knapweedstream::dispatch
