#include "dispatch/store_fleet.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto step_length = milliseconds{5};
constexpr auto store_delay = milliseconds{5};
constexpr auto list_timeout = seconds{3};

auto zone_name(std::size_t i) -> std::string
{
    return "z" + std::to_string(i);
}

auto instance_name(std::size_t i) -> std::string
{
    return "i" + std::to_string(i);
}

/// Index of an instance, from its address.
auto index_of(std::string const& address) -> std::size_t
{
    return std::stoul(address.substr(address.find(':') + 1));
}

} // namespace

store_fleet::store_fleet(store_fleet_setup const& setup) : setup_(setup)
{
    write(store_kind::configuration, {"main", 0, config_of(single_route("s"))});
    for (std::size_t i = 0; i < setup.targets; ++i)
    {
        auto const name = "t" + std::to_string(i);
        write(store_kind::targets,
            {name, 0,
                make_registration(name, "s", zone_name(i % setup.zones))});
    }
    for (std::size_t i = 0; i < setup.instances; ++i)
    {
        auto init = dispatcher_init{};
        for (std::size_t z = 0; z < setup.zones; ++z)
            init.regions[zone_name(z)] = "r";
        auto const address = "10.0.0.1:" + std::to_string(i);
        init.self = {instance_name(i), zone_name(i % setup.zones), "r",
            setup.relays ? address : ""};
        init.seed = 1'000 + i;
        init.bounds = setup.bounds;
        auto n = node{};
        n.core = std::make_unique<harness>(init);
        n.core->submit("q"); // Callers are served: targets are in demand.
        nodes_.push_back(std::move(n));
    }
}

auto store_fleet::write(store_kind kind, stored_object o) -> void
{
    o.revision = ++revision_;
    objects_[kind][o.name] = std::move(o);
}

auto store_fleet::objects_of(store_kind kind) const
    -> std::vector<stored_object>
{
    auto out = std::vector<stored_object>{};
    if (auto const it = objects_.find(kind); it != objects_.end())
        for (auto const& [name, o] : it->second)
            out.push_back(o);
    return out;
}

auto store_fleet::changes_after(store_kind kind, std::uint64_t since) const
    -> std::vector<stored_change>
{
    auto out = std::vector<stored_change>{};
    for (auto const& it : objects_of(kind))
        if (it.revision > since)
            out.push_back({it, false});
    return out;
}

auto store_fleet::change_target() -> void
{
    auto const n = next_target_++;
    auto const fresh = n % 2 == 0;
    auto const name = "c" + std::to_string(n / 2);
    auto r = make_registration(name, "s", zone_name(n % setup_.zones));
    r.draining = !fresh;
    write(store_kind::targets, {name, 0, r});
    changes.push_back({name, revision_, now,
        std::vector<time_point>(nodes_.size(), time_point::max())});
}

auto store_fleet::cut_until(std::size_t i, time_point end) -> void
{
    nodes_[i].cut_until = end;
    nodes_[i].disturbed_until = end;
}

auto store_fleet::silence_connections(std::size_t i) -> void
{
    for (auto& it : nodes_[i].calls)
        it.lost = true;
}

auto store_fleet::freeze_until(std::size_t i, time_point end) -> void
{
    nodes_[i].frozen_until = end;
    nodes_[i].disturbed_until = end;
}

auto store_fleet::runs(std::size_t i) const -> bool
{
    return nodes_[i].alive && now >= nodes_[i].frozen_until;
}

auto store_fleet::is_silent(std::size_t i) const -> bool
{
    return now < silent_until_ || now < nodes_[i].cut_until;
}

auto store_fleet::run(duration length, std::function<void()> const& each_step)
    -> void
{
    for (auto const end = now + length; now < end;)
    {
        step();
        if (each_step)
            each_step();
    }
}

auto store_fleet::step() -> void
{
    now += step_length;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (runs(i))
        {
            auto& core = *nodes_[i].core;
            // The steady clock counts the time of a freeze, too.
            core.advance(now - core.now);
            end_calls(i);
            take_commands(i);
        }
    deliver_questions();
}

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
    std::visit(overloaded{[&](store_list const& it)
                   {
                       auto n = call{};
                       n.kind = it.kind;
                       n.is_list = true;
                       n.fails_at = now + list_timeout;
                       start_call(i, n, it.may_be_stale);
                   },
                   [&](store_watch const& it)
                   {
                       auto n = call{};
                       n.kind = it.kind;
                       n.since = it.revision;
                       n.answer_by = now + it.wait;
                       n.fails_at = now + it.timeout;
                       start_call(i, n, it.may_be_stale);
                   },
                   [&](store_check const& it)
                   {
                       auto n = call{};
                       n.kind = it.kind;
                       n.is_check = true;
                       n.since = it.revision;
                       n.answer_by = now;
                       n.fails_at = now + it.timeout;
                       start_call(i, n, true);
                   },
                   [&](store_write_record const& it)
                   {
                       calls += 1;
                       if (!is_silent(i))
                           write(store_kind::instances,
                               {it.record.name, 0, it.record});
                   },
                   [&](ask_relay const& it)
                   {
                       questions_.push_back({i, index_of(it.address),
                           it.request, relay_caller_id{next_question_++},
                           now + it.timeout, false, {}});
                   },
                   [&](answer_relay const& it) { reply(it); },
                   [&](report_fact const& it) { note_fact(i, it.what); },
                   [](auto const&) {
                   }},
        c);
}

auto store_fleet::start_call(std::size_t i, call c, bool stale) -> void
{
    constexpr auto stale_price = 0.1;
    calls += stale ? stale_price : 1.0;
    c.at = now;
    c.lost = is_silent(i);
    auto& all = nodes_[i].calls;
    // A new call on the same connection replaces the one before.
    std::erase_if(all, [&](call const& it)
        { return it.kind == c.kind && it.is_check == c.is_check; });
    all.push_back(c);
}

auto store_fleet::end_calls(std::size_t i) -> void
{
    auto& all = nodes_[i].calls;
    if (is_silent(i))
        for (auto& it : all)
            it.lost = true;
    auto const is_due = [&](call const& c)
    {
        if (c.lost || now < c.at + store_delay)
            return false;
        return c.is_list || now >= c.answer_by ||
               !changes_after(c.kind, c.since).empty();
    };
    auto const pending = all;
    for (auto const& c : pending)
    {
        auto const answered = is_due(c);
        if (!answered && now < c.fails_at)
            continue;
        std::erase_if(all,
            [&](call const& it) {
                return it.kind == c.kind && it.is_check == c.is_check &&
                       it.at == c.at;
            });
        if (answered)
            answer(i, c);
        else
            fail(i, c);
    }
}

auto store_fleet::answer(std::size_t i, call const& c) -> void
{
    auto& core = *nodes_[i].core;
    if (c.is_list)
        core.feed(store_listed{c.kind, objects_of(c.kind), "", revision_});
    else if (c.is_check)
        core.feed(store_checked{
            c.kind, c.since, changes_after(c.kind, c.since), revision_, {}});
    else
        core.feed(
            store_changed{c.kind, changes_after(c.kind, c.since), revision_});
}

auto store_fleet::fail(std::size_t i, call const& c) -> void
{
    auto& core = *nodes_[i].core;
    if (c.is_check)
        core.feed(
            store_checked{c.kind, c.since, {}, 0, store_failure::timeout});
    else
        core.feed(store_failed{c.kind, store_failure::timeout});
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

auto store_fleet::note_fact(std::size_t i, fact const& f) -> void
{
    if (auto const* it = std::get_if<store_source_changed>(&f))
        nodes_[i].attached = !it->relay.empty();
    auto const* it = std::get_if<target_condition_changed>(&f);
    if (it == nullptr)
        return;
    for (auto& c : changes)
        if (c.target == it->target && c.revision <= it->revision)
            c.known_at[i] = std::min(c.known_at[i], now);
}

auto store_fleet::longest_lag() const -> duration
{
    auto longest = duration{0};
    for (auto const& c : changes)
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i].alive && nodes_[i].disturbed_until < c.at)
                longest =
                    std::max(longest, std::min(c.known_at[i], now) - c.at);
    return longest;
}

auto store_fleet::attached() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(),
        [](node const& it) { return it.alive && it.attached; }));
}

} // namespace knapweedstream::dispatch
