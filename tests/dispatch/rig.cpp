#include "dispatch/rig.hpp"

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

rig::rig(dispatch_limits const& limits, std::string zone, std::string name)
    : core(make_init(limits, zone, name))
{
    carry_out(core.start(now));
}

auto rig::begin(routing_config const& c,
    std::vector<target_registration> const& targets,
    std::vector<instance_record> const& fleet) -> void
{
    auto records = std::vector<stored_object>{};
    for (auto const& it : fleet)
        records.push_back({it.name, ++revision_, it});
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

auto rig::feed(event const& e) -> void
{
    waiting_.push_back(e);
    while (!waiting_.empty())
    {
        auto const next = waiting_.front();
        waiting_.pop_front();
        carry_out(core.handle(next, now));
    }
}

auto rig::advance(duration d) -> void
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

auto rig::open_held() -> void
{
    for (auto const id : std::exchange(held, {}))
        feed(connection_opened{id});
}

auto rig::tick_early() -> void
{
    wake_.reset();
    feed(tick{});
}

auto rig::ask(std::string const& id, std::string const& target,
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

auto rig::reply(sent const& s, target_reply const& r, bool reusable) -> void
{
    std::erase_if(
        unanswered, [&](sent const& it) { return it.attempt == s.attempt; });
    feed(target_replied{s.connection, s.attempt, r, reusable, duration{0}});
}

auto rig::succeed(sent const& s, std::string body) -> void
{
    reply(s, success(std::move(body), "sig-" + s.target));
}

auto rig::lose(sent const& s, connection_end how) -> void
{
    std::erase_if(
        unanswered, [&](sent const& it) { return it.attempt == s.attempt; });
    hang_up(s.connection);
    feed(connection_closed{s.connection, how, false});
}

auto rig::take_sent() -> std::vector<sent>
{
    auto out = std::vector<sent>(unanswered.begin(), unanswered.end());
    unanswered.clear();
    return out;
}

auto rig::answer_to(caller_id c) const -> std::optional<answered>
{
    for (auto const& it : answers)
        if (it.caller == c)
            return it;
    return std::nullopt;
}

auto rig::carry_out(commands const& list) -> void
{
    for (auto const& it : list)
    {
        all.push_back(it);
        carry_out(it);
    }
}

auto rig::open(open_connection const& c) -> void
{
    auto const refused = std::find(
        refused_addresses.begin(), refused_addresses.end(), c.address);
    if (refused != refused_addresses.end())
        waiting_.push_back(
            connection_closed{c.connection, connection_end::refused, true});
    else if (!accept(c))
        waiting_.push_back(
            connection_closed{c.connection, connection_end::reset, true});
    else if (hold_opens)
        held.push_back(c.connection);
    else
        waiting_.push_back(connection_opened{c.connection});
}

auto rig::accept(open_connection const& c) -> bool
{
    if (accepted == nullptr)
        return true;
    auto& n = accepted->open[c.address];
    if (n >= accepted->limit)
        return false;
    ++n;
    ++accepted->opened;
    open_to_[c.connection] = c.address;
    return true;
}

auto rig::hang_up(connection_id c) -> void
{
    auto const it = open_to_.find(c);
    if (it == open_to_.end())
        return;
    --accepted->open.at(it->second);
    open_to_.erase(it);
}

auto rig::carry_out(command const& c) -> void
{
    if (auto const* it = std::get_if<open_connection>(&c))
        open(*it);
    if (auto const* it = std::get_if<close_connection>(&c))
        hang_up(it->connection);
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
    r.path_prefix = "/p/";
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

auto registered(std::string const& name, std::string const& service,
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

auto success(std::string body, std::string signature) -> target_reply
{
    return reply_success{{200, std::move(signature), {}, std::move(body)}};
}

auto refusal_of(rig const& r, caller_id c) -> answer_refused
{
    return std::get<answer_refused>(r.answer_to(c)->answer);
}

auto merged_of(rig const& r, caller_id c) -> answer_merged
{
    return std::get<answer_merged>(r.answer_to(c)->answer);
}

auto three_of(std::string const& service) -> std::vector<target_registration>
{
    return {registered(service + "-a", service, "a"),
        registered(service + "-b", service, "b"),
        registered(service + "-c", service, "c")};
}

auto two_shards() -> std::vector<target_registration>
{
    auto all = three_of("s0");
    for (auto const& it : three_of("s1"))
        all.push_back(it);
    return all;
}

auto at_most_once(route r) -> route
{
    r.delivery = delivery_semantics::at_most_once;
    return r;
}

} // namespace knapweedstream::dispatch
