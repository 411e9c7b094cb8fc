#include "core/dispatch/version_shift.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto move_before = milliseconds{3'500};     ///< The stated end.
constexpr auto complete_before = milliseconds{1'500}; ///< The stated end.
constexpr auto tell_again = milliseconds{1'000};
constexpr auto rank_wait = milliseconds{300}; ///< Of each later instance.
constexpr auto most_waits = std::size_t{5};
constexpr auto tried_part = 0.5; ///< Of the share that may be exposed.
constexpr auto most_tried = 0.5; ///< Of one instance's requests.
constexpr auto least_triers = std::size_t{4};

/// When results count as bad.
auto const verdict = []
{
    auto p = rollout_policy{};
    p.max_failure_ratio = 0.2;
    p.max_latency_ratio = 2.5;
    p.min_samples = 6;
    return p;
}();

/// The two times lie within a short order's duration.
auto move_time(version_shift const& v) -> time_point
{
    auto const d = v.order.duration;
    return v.since + std::max(d - move_before, d / 2);
}

auto complete_time(version_shift const& v) -> time_point
{
    auto const d = v.order.duration;
    return v.since + std::max(d - complete_before, d * 3 / 4);
}

auto wait_of(std::size_t rank) -> duration
{
    return rank_wait * static_cast<int>(std::min(rank, most_waits));
}

auto is_final(order_state s) -> bool
{
    return s == order_state::completed || s == order_state::rolled_back;
}

auto phase_of(order_state s, shift_phase const& now) -> shift_phase
{
    if (s == order_state::completed)
        return shift_done{};
    if (s == order_state::rolled_back &&
        !std::holds_alternative<shift_undone>(now))
        return shift_undone{};
    return now;
}

} // namespace

auto begin_shift(rollout_order const& o, std::uint64_t revision, time_point now)
    -> version_shift
{
    auto v = version_shift{};
    v.order = o;
    v.revision = revision;
    v.since = now;
    v.phase = phase_of(o.state, shift_trying{});
    return v;
}

auto with_order(version_shift const& v, rollout_order const& o,
    std::uint64_t revision, time_point now) -> version_shift
{
    auto const another = o.to_version != v.order.to_version ||
                         (is_final(v.order.state) && !is_final(o.state));
    if (another)
        return begin_shift(o, revision, now);
    auto next = v;
    next.order = o;
    next.revision = revision;
    next.phase = phase_of(o.state, v.phase);
    return next;
}

auto trial_share(dispatch_bounds const& bounds, std::size_t rank,
    std::size_t instances) -> double
{
    auto const n = std::max<std::size_t>(1, instances);
    auto const all =
        tried_part * bounds.exposure_share * static_cast<double>(n);
    auto const enough = static_cast<std::size_t>(all / most_tried) + 1;
    auto const triers = std::min(n, std::max(least_triers, enough));
    return rank < triers ? all / static_cast<double>(triers) : 0.0;
}

auto choose_side(version_shift const& v, double share) -> side_choice
{
    return std::visit(overloaded{[&](shift_trying const&) -> side_choice
                          {
                              auto next = v;
                              next.credit += share;
                              if (next.credit < 1)
                                  return {version_side::old_only, next};
                              next.credit -= 1;
                              return {version_side::prefer_new, next};
                          },
                          [&](shift_undone const&) -> side_choice {
                              return {version_side::old_only, v};
                          },
                          [&](auto const&) -> side_choice
                          {
                              return {version_side::prefer_new, v};
                          }},
        v.phase);
}

auto with_result(version_shift const& v, std::string const& version,
    bool failed, duration took) -> version_shift
{
    auto next = v;
    auto& r = version == v.order.to_version ? next.after : next.before;
    r = with_result(r, failed, static_cast<double>(took.count()));
    return next;
}

auto advanced(version_shift const& v, time_point now) -> version_shift
{
    auto const open = std::holds_alternative<shift_trying>(v.phase) ||
                      std::holds_alternative<shift_moved>(v.phase);
    if (!open)
        return v;
    auto next = v;
    auto const fault = compare_versions(v.before, v.after, verdict);
    if (fault != rollout_fault::none)
        next.phase = shift_undone{fault};
    else if (now >= move_time(v))
        next.phase = shift_moved{};
    return next;
}

auto state_to_tell(version_shift const& v, std::size_t rank, time_point now)
    -> std::optional<order_state>
{
    auto const known = v.order.state;
    if (is_final(known) || now < v.told + tell_again)
        return {};
    return std::visit(
        overloaded{[&](shift_trying const&) -> std::optional<order_state>
            {
                if (known == order_state::waiting &&
                    now >= v.since + wait_of(rank))
                    return order_state::running;
                return {};
            },
            [&](shift_moved const&) -> std::optional<order_state>
            {
                if (now >= complete_time(v) + wait_of(rank))
                    return order_state::completed;
                return {};
            },
            [&](shift_undone const&) -> std::optional<order_state>
            { return order_state::rolled_back; },
            [&](shift_done const&) -> std::optional<order_state>
            {
                return {};
            }},
        v.phase);
}

auto fits(version_shift const& v, version_side side, std::string const& version)
    -> bool
{
    switch (side)
    {
    case version_side::old_only:
        return version != v.order.to_version;
    case version_side::prefer_new:
        return version == v.order.to_version;
    case version_side::any:
        break;
    }
    return true;
}

auto name_of(shift_phase const& p) -> char const*
{
    return std::visit(overloaded{[](shift_trying const&) { return "trying"; },
                          [](shift_moved const&) { return "moved"; },
                          [](shift_done const&) { return "done"; },
                          [](shift_undone const&)
                          {
                              return "undone";
                          }},
        p);
}

} // namespace knapweedstream::dispatch
