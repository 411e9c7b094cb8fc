#include "dispatch/load.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto tick_length = milliseconds{1};
constexpr auto settle_time = seconds{3}; ///< After the last new request.

/// Removes the entries that are due from a list and returns them.
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

load_simulation::load_simulation(load_init const& init)
{
    accepted_.limit = init.accept_limit;
    auto fleet = std::vector<instance_record>{};
    for (std::size_t i = 0; i < init.instances; ++i)
        fleet.push_back({"i" + std::to_string(i), "a", "north"});
    for (auto const& it : fleet)
    {
        harnesses_.push_back(
            std::make_unique<harness>(init.limits, it.zone, it.name));
        harnesses_.back()->accepted = &accepted_;
        harnesses_.back()->finish_startup();
        harnesses_.back()->feed_lists(init.config, init.registered, fleet);
    }
    now_ = harnesses_.front()->now;
    for (auto const& [name, it] : init.targets)
        targets_[name].model = it;
}

auto load_simulation::simulate(load_plan const& plan) -> load_result
{
    begin(plan);
    while (now_ < start_ + plan.length + settle_time)
    {
        submit_due();
        step();
    }
    return finish();
}

auto load_simulation::begin(load_plan const& plan) -> void
{
    plan_ = plan;
    random_ = {plan.seed, 0};
    start_ = now_;
    next_arrival_ = now_;
    auto const n = std::chrono::ceil<seconds>(plan.length).count();
    result_.seconds.resize(static_cast<std::size_t>(n));
    for (auto& [name, it] : targets_)
        it.next_pause = now_ + scaled(it.model.pause_every, random_fraction());
}

/// Random number above 0 and below 1, so that its logarithm is finite.
auto load_simulation::random_fraction() -> double
{
    constexpr auto steps = std::uint64_t{1} << 32;
    return (static_cast<double>(draw_below(random_, steps)) + 0.5) / steps;
}

auto load_simulation::submit_due() -> void
{
    while (next_arrival_ <= now_ && now_ < start_ + plan_.length)
    {
        submit({now_, now_, false});
        auto const wait = plan_.seed == 0 ? 1.0 : -std::log(random_fraction());
        next_arrival_ += scaled(seconds{1}, wait / plan_.rate_per_s);
    }
    while (
        !retrying_callers_.empty() && retrying_callers_.begin()->first <= now_)
    {
        auto c = retrying_callers_.begin()->second;
        retrying_callers_.erase(retrying_callers_.begin());
        c.last = now_;
        submit(c);
    }
}

auto load_simulation::submit(caller const& c) -> void
{
    auto& r = *harnesses_[submitted_ % harnesses_.size()];
    auto const id = "q" + std::to_string(submitted_++);
    callers_.emplace(std::pair{&r, r.submit(id)}, c);
}

auto load_simulation::step() -> void
{
    now_ += tick_length;
    for (auto& r : harnesses_)
    {
        r->advance(tick_length);
        for (auto const& it : r->take_sent())
            send(*r, it);
    }
    for (auto& [name, it] : targets_)
    {
        handle_arrivals(it);
        advance_running(it);
        send_replies(it);
    }
    for (auto& r : harnesses_)
        collect_answers(*r);
}

auto load_simulation::send(harness& from, sent_request const& s) -> void
{
    auto& t = targets_.at(s.target);
    t.arriving.push_back({&from, s, now_ + t.model.network_delay});
}

auto load_simulation::handle_arrivals(simulated_target& t) -> void
{
    for (auto const& it : take_due(t.arriving, now_))
    {
        ++t.count;
        auto const refuses =
            t.model.refuse_every != 0 && t.count % t.model.refuse_every == 0;
        if (refuses || t.waiting.size() >= t.model.queue)
            it.from->reply(it.request, reply_overloaded{});
        else
            t.waiting.push_back(it);
    }
}

auto load_simulation::is_paused(simulated_target& t) -> bool
{
    if (t.model.pause_every == duration{0} || now_ < t.next_pause)
        return false;
    if (t.paused_until < t.next_pause)
        t.paused_until = t.next_pause + t.model.pause_length;
    if (now_ < t.paused_until)
        return true;
    t.next_pause += t.model.pause_every;
    return false;
}

auto load_simulation::draw_processing_time(simulated_target& t) -> duration
{
    constexpr auto forever = std::chrono::hours{1};
    if (t.model.hang_every != 0 && ++t.started % t.model.hang_every == 0)
        return forever;
    auto const deviation =
        t.model.processing_spread * (2 * random_fraction() - 1);
    return scaled(t.model.processing_time, 1 + deviation);
}

auto load_simulation::advance_running(simulated_target& t) -> void
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
        it.due = now_ + t.model.network_delay;
        t.returning.push_back(it);
    }
    while (!t.waiting.empty() && t.running.size() < t.model.slots)
    {
        auto it = t.waiting.front();
        t.waiting.pop_front();
        if (!it.from->is_open(it.request.connection))
            continue;
        it.due = now_ + draw_processing_time(t);
        t.running.push_back(it);
    }
}

auto load_simulation::send_replies(simulated_target& t) -> void
{
    for (auto const& it : take_due(t.returning, now_))
        it.from->succeed(it.request);
}

auto load_simulation::collect_answers(harness& r) -> void
{
    for (auto& n = collected_[&r]; n < r.answers.size(); ++n)
    {
        auto const a = r.answers[n];
        auto const c = callers_.at({&r, a.caller});
        auto const* refused = std::get_if<answer_refused>(&a.answer);
        if (refused != nullptr && plan_.retry_refused && !c.retried)
        {
            auto next = c;
            next.retried = true;
            retrying_callers_.emplace(now_ + refused->retry_after, next);
            continue;
        }
        count(c, a);
    }
}

auto load_simulation::count(caller const& c, answer_record const& a) -> void
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
    auto const latency = a.at - c.first;
    auto const in_time = latency <= plan_.objective;
    ++(in_time ? result_.in_time : result_.late);
    result_.in_time_after_retry +=
        !in_time && a.at - c.last <= plan_.objective ? 1 : 0;
    auto const* merged = std::get_if<answer_merged>(&a.answer);
    result_.partial += merged != nullptr && merged->missing > 0 ? 1 : 0;
    result_.latencies.push_back(latency);
    auto const second = std::chrono::floor<seconds>(c.first - start_).count();
    result_.seconds.at(static_cast<std::size_t>(second)).in_time +=
        in_time ? 1 : 0;
}

auto load_simulation::finish() -> load_result
{
    for (auto const& [key, c] : callers_)
    {
        if (c.retried)
            continue;
        ++result_.submitted;
        auto const second =
            std::chrono::floor<seconds>(c.first - start_).count();
        ++result_.seconds.at(static_cast<std::size_t>(second)).submitted;
    }
    result_.failed =
        result_.submitted - result_.in_time - result_.late - result_.refused;
    std::sort(result_.latencies.begin(), result_.latencies.end());
    for (auto const& r : harnesses_)
    {
        auto const& n = r->core.stats();
        result_.first_sends += n.first_sends;
        result_.extra_sends += n.hedges + n.retries + n.probes;
    }
    result_.connections = accepted_.opened;
    return result_;
}

} // namespace knapweedstream::dispatch
