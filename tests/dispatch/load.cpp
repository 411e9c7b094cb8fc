#include "dispatch/load.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto tick_length = milliseconds{1};
constexpr auto settle_time = seconds{3};

/// Moves what is due out of a list.
template <class Job>
auto take_due(std::vector<Job>& from, time_point now) -> std::vector<Job>
{
    auto const due = [&](Job const& it)
    {
        return it.due <= now;
    };
    auto out = std::vector<Job>{};
    std::copy_if(from.begin(), from.end(), std::back_inserter(out), due);
    std::erase_if(from, due);
    return out;
}

} // namespace

load_rig::load_rig(load_init const& init)
{
    accepted_.limit = init.accepts;
    auto fleet = std::vector<instance_record>{};
    for (std::size_t i = 0; i < init.instances; ++i)
        fleet.push_back({"i" + std::to_string(i), "a", "north"});
    for (auto const& it : fleet)
    {
        rigs_.push_back(std::make_unique<rig>(init.limits, it.zone, it.name));
        rigs_.back()->accepted = &accepted_;
        rigs_.back()->age();
        rigs_.back()->begin(init.config, init.registered, fleet);
    }
    now_ = rigs_.front()->now;
    for (auto const& [name, it] : init.targets)
        targets_[name].like = it;
}

auto load_rig::play(load_plan const& plan) -> load_result
{
    begin(plan);
    while (now_ < start_ + plan.length + settle_time)
    {
        ask_due();
        step();
    }
    return finish();
}

auto load_rig::begin(load_plan const& plan) -> void
{
    plan_ = plan;
    random_ = {plan.seed, 0};
    start_ = now_;
    next_ask_ = now_;
    auto const n = std::chrono::ceil<seconds>(plan.length).count();
    result_.seconds.resize(static_cast<std::size_t>(n));
    for (auto& [name, it] : targets_)
        it.next_pause = now_ + scaled(it.like.pause_each, random_share());
}

/// A number from 0 to 1.
auto load_rig::random_share() -> double
{
    constexpr auto steps = std::uint64_t{1} << 32;
    return (static_cast<double>(draw_below(random_, steps)) + 0.5) / steps;
}

auto load_rig::ask_due() -> void
{
    while (next_ask_ <= now_ && now_ < start_ + plan_.length)
    {
        ask({now_, now_, false});
        auto const wait = plan_.seed == 0 ? 1.0 : -std::log(random_share());
        next_ask_ += scaled(seconds{1}, wait / plan_.per_s);
    }
    while (!returning_callers_.empty() &&
           returning_callers_.begin()->first <= now_)
    {
        auto c = returning_callers_.begin()->second;
        returning_callers_.erase(returning_callers_.begin());
        c.last = now_;
        ask(c);
    }
}

auto load_rig::ask(caller const& c) -> void
{
    auto& r = *rigs_[asked_ % rigs_.size()];
    auto const id = "q" + std::to_string(asked_++);
    callers_.emplace(std::pair{&r, r.ask(id)}, c);
}

auto load_rig::step() -> void
{
    now_ += tick_length;
    for (auto& r : rigs_)
    {
        r->advance(tick_length);
        for (auto const& it : r->take_sent())
            send(*r, it);
    }
    for (auto& [name, it] : targets_)
    {
        arrive(it);
        run(it);
        respond(it);
    }
    for (auto& r : rigs_)
        hear(*r);
}

auto load_rig::send(rig& from, sent const& s) -> void
{
    auto& t = targets_.at(s.target);
    t.arriving.push_back({&from, s, now_ + t.like.way});
}

auto load_rig::arrive(served& t) -> void
{
    for (auto const& it : take_due(t.arriving, now_))
    {
        ++t.count;
        auto const refuses =
            t.like.refuses_each != 0 && t.count % t.like.refuses_each == 0;
        if (refuses || t.waiting.size() >= t.like.queue)
            it.from->reply(it.request, reply_overloaded{});
        else
            t.waiting.push_back(it);
    }
}

auto load_rig::is_paused(served& t) -> bool
{
    if (t.like.pause_each == duration{0} || now_ < t.next_pause)
        return false;
    if (t.paused_until < t.next_pause)
        t.paused_until = t.next_pause + t.like.pause_for;
    if (now_ < t.paused_until)
        return true;
    t.next_pause += t.like.pause_each;
    return false;
}

auto load_rig::work_of(served& t) -> duration
{
    constexpr auto forever = std::chrono::hours{1};
    if (t.like.hangs_each != 0 && ++t.started % t.like.hangs_each == 0)
        return forever;
    auto const away = t.like.work_spread * (2 * random_share() - 1);
    return scaled(t.like.work, 1 + away);
}

auto load_rig::run(served& t) -> void
{
    if (is_paused(t))
    {
        for (auto& it : t.running)
            it.due += tick_length;
        return;
    }
    std::erase_if(t.running,
        [](job const& it) { return !it.from->is_open(it.request.connection); });
    for (auto it : take_due(t.running, now_))
    {
        it.due = now_ + t.like.way;
        t.returning.push_back(it);
    }
    while (!t.waiting.empty() && t.running.size() < t.like.slots)
    {
        auto it = t.waiting.front();
        t.waiting.pop_front();
        if (!it.from->is_open(it.request.connection))
            continue;
        it.due = now_ + work_of(t);
        t.running.push_back(it);
    }
}

auto load_rig::respond(served& t) -> void
{
    for (auto const& it : take_due(t.returning, now_))
        it.from->succeed(it.request);
}

auto load_rig::hear(rig& r) -> void
{
    for (auto& n = heard_[&r]; n < r.answers.size(); ++n)
    {
        auto const a = r.answers[n];
        auto const c = callers_.at({&r, a.caller});
        auto const* refused = std::get_if<answer_refused>(&a.answer);
        if (refused != nullptr && plan_.comes_back && !c.came_back)
        {
            auto next = c;
            next.came_back = true;
            returning_callers_.emplace(now_ + refused->retry_after, next);
            continue;
        }
        count(c, a);
    }
}

auto load_rig::count(caller const& c, answered const& a) -> void
{
    if (is<answer_failed>(a.answer))
        return;
    if (is<answer_refused>(a.answer))
    {
        ++result_.refused;
        result_.slowest_refusal =
            std::max(result_.slowest_refusal, a.at - c.last);
        return;
    }
    auto const took = a.at - c.first;
    auto const in_time = took <= plan_.objective;
    ++(in_time ? result_.in_time : result_.late);
    result_.again += !in_time && a.at - c.last <= plan_.objective ? 1 : 0;
    auto const* merged = std::get_if<answer_merged>(&a.answer);
    result_.partial += merged != nullptr && merged->missing > 0 ? 1 : 0;
    result_.took.push_back(took);
    auto const second = std::chrono::floor<seconds>(c.first - start_).count();
    result_.seconds.at(static_cast<std::size_t>(second)).in_time +=
        in_time ? 1 : 0;
}

auto load_rig::finish() -> load_result
{
    for (auto const& [key, c] : callers_)
    {
        if (c.came_back)
            continue;
        ++result_.asked;
        auto const second =
            std::chrono::floor<seconds>(c.first - start_).count();
        ++result_.seconds.at(static_cast<std::size_t>(second)).asked;
    }
    result_.failed =
        result_.asked - result_.in_time - result_.late - result_.refused;
    std::sort(result_.took.begin(), result_.took.end());
    for (auto const& r : rigs_)
    {
        auto const& n = r->core.stats();
        result_.first_sends += n.first_sends;
        result_.extra_sends += n.hedges + n.retries + n.probes;
    }
    result_.connections = accepted_.opened;
    return result_;
}

} // namespace knapweedstream::dispatch
