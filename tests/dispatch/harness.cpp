#include "dispatch/harness.hpp"

#include <algorithm>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

auto make_init(dispatch_limits const& limits, std::string const& zone,
    std::string const& name) -> dispatcher_init
{
    auto i = dispatcher_init{};
    i.regions = {{"a", "north"}, {"b", "south"}, {"c", "west"}};
    i.self = {name, zone, i.regions[zone]};
    i.limits = limits;
    return i;
}

} // namespace

harness::harness(
    dispatch_limits const& limits, std::string zone, std::string name)
    : harness(make_init(limits, zone, name))
{
}

harness::harness(dispatcher_init const& init, time_point start)
    : core(init), now(start), self_(init.self)
{
    carry_out(core.start(now));
}

auto harness::finish_startup() -> void
{
    constexpr auto startup = seconds{30};
    auto const end = now + startup;
    claiming_ = true;
    auto claiming = self_;
    claiming.budget_claim = whole_budget;
    auto const own = stored_object{self_.name, ++revision_, claiming};
    feed(store_listed{store_kind::instances, {own}, "", revision_});
    advance(dispatch_limits{}.poll_first + milliseconds{100});
    feed(store_listed{store_kind::instances, {own}, "", revision_});
    advance(end - now);
}

auto harness::feed_lists(routing_config const& c,
    std::vector<target_registration> const& targets,
    std::vector<instance_record> const& fleet) -> void
{
    auto records = std::vector<stored_object>{};
    for (auto it : fleet)
    {
        if (claiming_)
            it.budget_claim =
                whole_budget / static_cast<std::uint32_t>(fleet.size());
        records.push_back({it.name, ++revision_, it});
    }
    feed(store_listed{store_kind::instances, records, "", revision_});
    auto objects = std::vector<stored_object>{};
    for (auto const& it : targets)
        objects.push_back({it.name, ++revision_, it});
    feed(store_listed{
        store_kind::configuration, {{"main", ++revision_, c}}, "", revision_});
    feed(store_listed{store_kind::targets, objects, "", revision_});
    for (auto const k : {store_kind::evacuations, store_kind::rollouts})
        feed(store_listed{k, {}, "", revision_});
}

auto harness::feed(event const& e) -> void
{
    pending_events_.push_back(e);
    while (!pending_events_.empty())
    {
        auto const next = pending_events_.front();
        pending_events_.pop_front();
        carry_out(core.handle(next, now));
    }
}

auto harness::advance(duration d) -> void
{
    auto const end = now + d;
    while (wake_ && *wake_ <= end)
    {
        now = std::max(now, *wake_);
        wake_.reset();
        feed(tick{});
    }
    now = end;
}

auto harness::complete_held_opens() -> void
{
    for (auto const id : std::exchange(held_opens, {}))
        feed(connection_opened{id});
}

auto harness::tick_early() -> void
{
    wake_.reset();
    feed(tick{});
}

auto harness::submit(std::string const& id, std::string const& target,
    std::optional<milliseconds> deadline) -> caller_id
{
    auto r = routed_request{};
    r.id = id;
    r.method = "GET";
    r.target = target;
    r.host = "h";
    r.deadline = deadline;
    auto const c = caller_id{++callers_};
    feed(caller_request{c, std::make_shared<routed_request const>(r)});
    return c;
}

auto harness::reply(sent_request const& s, target_reply const& r, bool reusable)
    -> void
{
    std::erase_if(unanswered,
        [&](sent_request const& it) { return it.attempt == s.attempt; });
    feed(target_replied{s.connection, s.attempt, r, reusable, duration{0}, {}});
}

auto harness::reply_saying(sent_request const& s, target_reply const& r,
    target_statement const& said) -> void
{
    std::erase_if(unanswered,
        [&](sent_request const& it) { return it.attempt == s.attempt; });
    feed(target_replied{s.connection, s.attempt, r, true, duration{0}, said});
}

auto harness::succeed(sent_request const& s, std::string body) -> void
{
    reply(s, success_reply(std::move(body), "sig-" + s.target));
}

auto harness::break_connection(sent_request const& s, connection_end how)
    -> void
{
    std::erase_if(unanswered,
        [&](sent_request const& it) { return it.attempt == s.attempt; });
    close_accepted(s.connection);
    feed(connection_closed{s.connection, how, false});
}

auto harness::sends_to(
    std::string const& target, int requests, duration interval) -> bool
{
    auto found = false;
    for (auto i = 0; i < requests; ++i)
    {
        submit("n" + std::to_string(callers_));
        for (auto const& it : take_sent())
        {
            found = found || it.target == target;
            succeed(it);
        }
        advance(interval);
    }
    return found;
}

auto harness::take_sent() -> std::vector<sent_request>
{
    auto out = std::vector<sent_request>(unanswered.begin(), unanswered.end());
    unanswered.clear();
    return out;
}

auto harness::answer_to(caller_id c) const -> std::optional<answer_record>
{
    for (auto const& it : answers)
        if (it.caller == c)
            return it;
    return std::nullopt;
}

auto harness::carry_out(commands const& list) -> void
{
    for (auto const& it : list)
    {
        all_commands.push_back(it);
        carry_out(it);
    }
}

auto harness::open(open_connection const& c) -> void
{
    auto const refused = std::find(
        refused_addresses.begin(), refused_addresses.end(), c.address);
    if (refused != refused_addresses.end())
        pending_events_.push_back(
            connection_closed{c.connection, connection_end::refused, true});
    else if (!accept(c))
        pending_events_.push_back(
            connection_closed{c.connection, connection_end::reset, true});
    else if (hold_opens)
        held_opens.push_back(c.connection);
    else
        pending_events_.push_back(connection_opened{c.connection});
}

auto harness::accept(open_connection const& c) -> bool
{
    if (accepted == nullptr)
        return true;
    auto& n = accepted->open[c.address];
    if (n >= accepted->limit)
        return false;
    ++n;
    ++accepted->opened;
    accepted_addresses_[c.connection] = c.address;
    return true;
}

auto harness::close_accepted(connection_id c) -> void
{
    auto const it = accepted_addresses_.find(c);
    if (it == accepted_addresses_.end())
        return;
    --accepted->open.at(it->second);
    accepted_addresses_.erase(it);
}

auto harness::carry_out(command const& c) -> void
{
    if (auto const* it = std::get_if<open_connection>(&c))
        open(*it);
    if (auto const* it = std::get_if<close_connection>(&c))
        close_accepted(it->connection);
    if (auto const* it = std::get_if<send_request>(&c))
        unanswered.push_back({it->connection, it->attempt, it->target,
            it->request->id, it->time_left, now});
    if (auto const* it = std::get_if<answer_caller>(&c))
        answers.push_back({it->caller, it->answer, now});
    if (auto const* it = std::get_if<wake_at>(&c))
        wake_ = it->when;
}

auto single_route(std::string const& service) -> route
{
    auto r = route{};
    r.name = "r";
    r.host = "h";
    r.path_start = "/p/";
    r.to = to_service{service};
    r.delivery = delivery_semantics::idempotent;
    r.timeout = milliseconds{1'000};
    r.latency_objective = milliseconds{200};
    r.max_attempts = 2;
    return r;
}

auto shard_route(std::vector<std::string> const& shards, double min_coverage)
    -> route
{
    auto r = single_route("");
    r.to = to_shards{shards, 3, min_coverage};
    return r;
}

auto config_of(route const& r, std::uint64_t version) -> routing_config
{
    auto c = routing_config{};
    c.version = version;
    c.routes = {r};
    return c;
}

auto make_registration(std::string const& name, std::string const& service,
    std::string const& zone) -> target_registration
{
    auto t = target_registration{};
    t.name = name;
    t.service = service;
    t.address = name + ":1";
    t.zone = zone;
    t.version = "v1";
    t.slots = 3;
    return t;
}

auto success_reply(std::string body, std::string signature) -> target_reply
{
    return reply_success{{200, std::move(signature), {}, std::move(body)}};
}

auto refusal_of(harness const& r, caller_id c) -> answer_refused
{
    return std::get<answer_refused>(r.answer_to(c)->answer);
}

auto merged_of(harness const& r, caller_id c) -> answer_merged
{
    return std::get<answer_merged>(r.answer_to(c)->answer);
}

auto three_targets(std::string const& service)
    -> std::vector<target_registration>
{
    return {make_registration(service + "-a", service, "a"),
        make_registration(service + "-b", service, "b"),
        make_registration(service + "-c", service, "c")};
}

auto two_shard_targets() -> std::vector<target_registration>
{
    auto all = three_targets("s0");
    for (auto const& it : three_targets("s1"))
        all.push_back(it);
    return all;
}

auto with_at_most_once(route r) -> route
{
    r.delivery = delivery_semantics::at_most_once;
    return r;
}

} // namespace knapweedstream::dispatch
