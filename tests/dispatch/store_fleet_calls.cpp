/// The calls of a fleet's instances: to the store, and to each other.
#include "dispatch/store_fleet.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto store_delay = milliseconds{5};
constexpr auto write_timeout = seconds{2};

/// Index of an instance, from its address.
auto index_of(std::string const& address) -> std::size_t
{
    return std::stoul(address.substr(address.find(':') + 1));
}

} // namespace

auto store_fleet::take_commands(std::size_t i) -> void
{
    auto& n = nodes_[i];
    while (n.commands_read < n.core->all_commands.size())
    {
        auto const c = n.core->all_commands[n.commands_read++];
        take_command(i, c);
    }
}

auto store_fleet::take_command(std::size_t i, command const& c) -> void
{
    if (auto const call = call_of(c, now))
        return start_call(i, *call);
    start_write(i, c);
    std::visit(overloaded{[&](ask_relay const& it)
                   {
                       questions_.push_back({i, index_of(it.address),
                           it.request, relay_caller_id{next_question_++},
                           now + it.timeout, false, {}});
                   },
                   [&](answer_relay const& it) { reply(it); },
                   [&](report_fact const& it) { note_fact(i, it.what); },
                   [&](exit_now const&) { kill(i); },
                   [](auto const&) {
                   }},
        c);
}

auto store_fleet::start_call(std::size_t i, store_call c) -> void
{
    constexpr auto stale_price = 0.1;
    calls += c.may_be_stale ? stale_price : 1.0;
    reads += c.may_be_stale ? 0 : 1;
    c.lost = is_silent(i) || happens(faults.lost);
    if (now < broken_until_)
    {
        c.lost = true;
        c.failure = store_failure::unreachable;
        c.fails_at = now + store_delay;
    }
    auto& all = nodes_[i].calls;
    // A new call on the same connection replaces the one before.
    std::erase_if(
        all, [&](store_call const& it) { return share_connection(it, c); });
    all.push_back(c);
}

auto store_fleet::start_write(std::size_t i, command const& c) -> void
{
    auto failed = failed_write(c, store_failure::timeout);
    if (!failed)
        return;
    calls += 1;
    ++writes;
    auto& out = nodes_[i].written;
    if (now < broken_until_)
    {
        failed->failure = store_failure::unreachable;
        return out.push_back({*failed, now + store_delay});
    }
    if (is_silent(i))
        return out.push_back({*failed, now + write_timeout});
    auto answer = *carry_out_write(store_, c, now);
    if (happens(faults.lost))
        return out.push_back({*failed, now + write_timeout});
    answer.era = stated_era();
    out.push_back({answer, now + store_delay});
}

auto store_fleet::answer_writes(std::size_t i) -> void
{
    auto& all = nodes_[i].written;
    auto const pending = all;
    std::erase_if(all, [&](auto const& it) { return it.at <= now; });
    for (auto const& it : pending)
        if (it.at <= now)
            nodes_[i].core->feed(it.answer);
}

auto store_fleet::end_calls(std::size_t i) -> void
{
    auto& all = nodes_[i].calls;
    if (is_silent(i))
        for (auto& it : all)
            it.lost = it.lost || !it.answer;
    for (auto& it : all)
        if (!it.answer && is_due(it, store_, now))
            it = send_answer(std::move(it));
    // What one answer brings about may replace another call.
    while (auto const c = take_ended(i))
    {
        nodes_[i].core->feed(c->answer && now >= c->answer_by
                                 ? *c->answer
                                 : failure_of(*c, c->failure, {}));
        take_commands(i);
    }
}

auto store_fleet::take_ended(std::size_t i) -> std::optional<store_call>
{
    auto& all = nodes_[i].calls;
    auto const it = std::find_if(all.begin(), all.end(),
        [&](store_call const& c)
        { return (c.answer && now >= c.answer_by) || now >= c.fails_at; });
    if (it == all.end())
        return std::nullopt;
    auto const ended = *it;
    all.erase(it);
    return ended;
}

/// The store answers a call; the answer may take time to arrive.
auto store_fleet::send_answer(store_call c) -> store_call
{
    auto read = now;
    if (c.may_be_stale && happens(faults.stale))
        read -= milliseconds{draw_below(
            random_, static_cast<std::uint64_t>(faults.stalest.count()))};
    auto const busy = c.type != call_type::check && happens(faults.busy);
    auto const era = stated_era();
    c.answer = busy ? failure_of(c, store_failure::busy, era)
                    : answer_of(c, store_,
                          {store_.revision_at(read), setup_.page_size, era});
    c.answer_by = now;
    if (happens(faults.late))
        c.answer_by += milliseconds{draw_below(
            random_, static_cast<std::uint64_t>(faults.latest.count()))};
    return c;
}

auto store_fleet::deliver_questions() -> void
{
    for (auto& q : questions_)
        if (!q.delivered && runs(q.to))
        {
            q.delivered = true;
            nodes_[q.to].core->feed(relay_asked{q.id, q.request});
            take_commands(q.to);
        }
    auto const waiting = questions_;
    for (auto const& q : waiting)
    {
        if (!runs(q.from) || (!q.reply && now < q.fails_at))
            continue;
        std::erase_if(
            questions_, [&](auto const& it) { return it.id == q.id; });
        auto const address = "10.0.0.1:" + std::to_string(q.to);
        if (q.reply)
            nodes_[q.from].core->feed(relay_replied{address, *q.reply});
        else
            nodes_[q.from].core->feed(relay_failed{address});
    }
}

auto store_fleet::reply(answer_relay const& c) -> void
{
    for (auto& q : questions_)
        if (std::find(c.callers.begin(), c.callers.end(), q.id) !=
            c.callers.end())
            q.reply = c.reply;
}

} // namespace knapweedstream::dispatch
