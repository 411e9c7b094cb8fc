#include "dispatch/fleet_callers.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// How long an instance is not judged after it was disturbed.
constexpr auto stable_window = seconds{1};
constexpr auto share_interval = milliseconds{100};
/// Age from which all know an instance that started together with them.
constexpr auto known_after = seconds{14};
/// The same if it started later: the others list the instances rarely by then,
/// and its own limits grow for so long.
constexpr auto later_known_after = seconds{30};

} // namespace

auto fleet_callers::step() -> void
{
    answers_read_.resize(fleet_.size());
    submit();
    for (std::size_t i = 0; i < fleet_.size(); ++i)
        if (fleet_.runs(i))
        {
            answer_requests(i);
            note_refusals(i);
        }
    check_shares();
}

auto fleet_callers::check_shares() -> void
{
    if (fleet_.now < shares_checked_ + share_interval)
        return;
    shares_checked_ = fleet_.now;
    most_shares = std::max(most_shares, sum_of_shares(fleet_));
}

auto fleet_callers::submit() -> void
{
    auto const i = next_++ % fleet_.size();
    if (!fleet_.runs(i) || !fleet_.view(i).ready || fleet_.stopping(i))
        return;
    fleet_.core(i).submit("n" + std::to_string(++sent));
}

auto fleet_callers::answer_requests(std::size_t i) -> void
{
    auto& core = fleet_.core(i);
    for (auto const& it : core.take_sent())
    {
        if (is_late(it.target, i))
            late.push_back(it.target + " from " + std::to_string(i));
        core.succeed(it);
    }
}

auto fleet_callers::is_late(std::string const& target, std::size_t i) const
    -> bool
{
    if (fleet_.disturbed_until(i) + stable_window > fleet_.now)
        return false;
    return std::any_of(fleet_.changes.begin(), fleet_.changes.end(),
        [&](fleet_change const& it) {
            return it.draining && it.target == target &&
                   fleet_.now - it.at > drain_;
        });
}

auto fleet_callers::note_refusals(std::size_t i) -> void
{
    auto const& all = fleet_.core(i).answers;
    for (auto& n = answers_read_[i]; n < all.size(); ++n)
        // The first caller came before the instance was ready.
        if (n > 0 && is<answer_refused>(all[n].answer) && !fleet_.stopping(i))
            refused.push_back("instance " + std::to_string(i));
}

auto sum_of_shares(store_fleet const& f) -> double
{
    auto const is_known = [&](std::size_t i)
    {
        auto const first = f.age(i) == f.age(0);
        return f.age(i) >= (first ? known_after : later_known_after);
    };
    auto sum = 0.0;
    for (std::size_t i = 0; i < f.size(); ++i)
        if (f.alive(i) && !f.stopping(i) && is_known(i))
            sum += 1.0 / static_cast<double>(std::max<std::uint64_t>(
                             1, f.core(i).core.gauges().instances));
    return sum;
}

} // namespace knapweedstream::dispatch
