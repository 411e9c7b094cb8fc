#include "dispatch/load.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto tick_length = milliseconds{1};
constexpr auto settle_time = seconds{3};

} // namespace

load_rig::load_rig(std::size_t instances, routing_config const& c,
    std::vector<target_registration> const& registered,
    std::map<std::string, modelled_target> const& targets, std::size_t accepts)
{
    accepted_.limit = accepts;
    auto fleet = std::vector<instance_record>{};
    for (std::size_t i = 0; i < instances; ++i)
        fleet.push_back({"i" + std::to_string(i), "a", "north"});
    for (auto const& it : fleet)
    {
        rigs_.push_back(
            std::make_unique<rig>(dispatch_limits{}, it.zone, it.name));
        rigs_.back()->accepted = &accepted_;
        rigs_.back()->age();
        rigs_.back()->begin(c, registered, fleet);
    }
    for (auto const& [name, it] : targets)
        targets_[name].like = it;
    now_ = rigs_.front()->now;
}

auto load_rig::play(double per_s, duration length, duration objective)
    -> load_result
{
    auto asked = asked_at{};
    auto const start = now_;
    while (now_ < start + length)
    {
        auto const elapsed = std::chrono::duration<double>(now_ - start);
        while (static_cast<double>(asked.size()) < per_s * elapsed.count())
        {
            auto& r = *rigs_[asked.size() % rigs_.size()];
            auto const c = r.ask("q" + std::to_string(asked.size()));
            asked.emplace(std::pair{&r, c}, now_);
        }
        step();
    }
    for (auto const end = now_ + settle_time; now_ < end;)
        step();
    return result_of(asked, objective);
}

auto load_rig::step() -> void
{
    now_ += tick_length;
    for (auto& r : rigs_)
    {
        r->advance(tick_length);
        for (auto const& it : r->take_sent())
            take(*r, it);
    }
    for (auto& [name, it] : targets_)
        finish(it);
}

auto load_rig::take(rig& from, sent const& s) -> void
{
    auto& t = targets_.at(s.target);
    auto const each = t.like.refuses_each;
    auto const refuses = each != 0 && ++t.count % each == 0;
    if (refuses || t.waiting.size() >= t.like.queue)
        from.reply(s, reply_overloaded{});
    else
        t.waiting.push_back({&from, s, {}});
}

auto load_rig::finish(served& t) -> void
{
    auto done = std::vector<job>{};
    std::erase_if(t.running,
        [&](job const& it)
        {
            if (it.done > now_)
                return false;
            done.push_back(it);
            return true;
        });
    while (!t.waiting.empty() && t.running.size() < t.like.slots)
    {
        t.running.push_back(t.waiting.front());
        t.running.back().done = now_ + t.like.work;
        t.waiting.pop_front();
    }
    for (auto const& it : done)
        it.from->succeed(it.request);
}

auto load_rig::result_of(asked_at const& asked, duration objective) const
    -> load_result
{
    auto out = load_result{};
    out.asked = asked.size();
    auto count = [&](rig const* r, answered const& a)
    {
        auto const took = a.at - asked.at({r, a.caller});
        if (is<answer_failed>(a.answer))
            return;
        if (!is<answer_refused>(a.answer))
        {
            ++(took <= objective ? out.in_time : out.late);
            return;
        }
        ++out.refused;
        out.slowest_refusal = std::max(out.slowest_refusal, took);
    };
    for (auto const& r : rigs_)
        for (auto const& a : r->answers)
            count(r.get(), a);
    out.failed = out.asked - out.in_time - out.late - out.refused;
    return out;
}

} // namespace knapweedstream::dispatch
