// Setup, requests and faults that tests apply to the simulated deployment.
#include "fakes.hpp"

namespace fakes
{

auto world::add_instance(std::string const& name, std::string const& zone)
    -> std::size_t
{
    instances.push_back(std::make_unique<fake_instance>());
    instances.back()->info = {name, name + ":1", zone, false};
    start(instances.size() - 1);
    return instances.size() - 1;
}

auto world::start(std::size_t i) -> void
{
    auto& n = *instances[i];
    if (n.live_node && !n.exited)
        return;
    n.exited = false;
    n.paused = false;
    n.live_node.emplace(node_init{n.info, seed_of(n), limits, policy}, now);
    deliver(i, tick{});
    auto listed = std::vector<instance_info>{};
    for (auto const& it : instances)
        if (!list_only_first || it == instances.front())
            listed.push_back(it->info);
    for (std::size_t k = 0; k < instances.size(); ++k)
        deliver(k, instances_listed{listed});
    if (!config.name.empty())
        deliver(i, config_read{config});
}

auto world::kill(std::size_t i) -> void
{
    auto& n = *instances[i];
    n.live_node.reset();
    n.deferred_events.clear();
    n.next_wake.reset();
    ++n.incarnation;
    for (auto& [address, l] : leafs)
        std::erase_if(
            l.open, [&](connection_id c) { return owner_of_[c] == i; });
}

auto world::resume(std::size_t i) -> void
{
    auto& n = *instances[i];
    if (!n.paused)
        return;
    n.paused = false;
    auto const missed = std::exchange(n.deferred_events, {});
    // A resumed process may see its timer or the deferred events first.
    auto const timers_first = draw(2) == 0;
    if (timers_first)
        deliver(i, tick{});
    for (auto const& e : missed)
        deliver(i, e);
    if (!timers_first)
        deliver(i, tick{});
}

auto world::add_service(std::string const& name, std::uint32_t shards,
    std::vector<std::string> const& zones) -> void
{
    auto s = service_info{};
    s.name = name;
    s.shards = shards;
    s.limits.slots = 3;
    s.limits.warmup = milliseconds{200};
    for (std::uint32_t i = 0; i < shards; ++i)
        for (std::size_t r = 0; r < zones.size(); ++r)
        {
            auto const id =
                name + "-" + std::to_string(i) + "-" + std::to_string(r);
            s.targets.push_back({id, id, zones[r], shard_id{i}, {}});
            leafs[id].info = s.targets.back();
        }
    config.services.push_back(s);
}

auto world::publish() -> void
{
    ++config.version.revision;
    for (std::size_t i = 0; i < instances.size(); ++i)
        deliver(i, config_read{config});
}

auto world::query(std::size_t i, std::string const& service,
    std::string const& text, milliseconds deadline) -> std::uint64_t
{
    auto const id = ++next_caller_;
    callers[id] = {};
    deliver(i, caller_query{{id}, {config.name, service, text, deadline, 100}});
    return id;
}

auto world::book(std::size_t i, std::string const& service,
    std::string const& key, milliseconds deadline) -> std::uint64_t
{
    auto const id = ++next_caller_;
    callers[id] = {};
    deliver(i,
        caller_booking{{id},
            {config.name, service, key, "item-" + key, key, deadline}, 1'000});
    return id;
}

auto world::book_text(std::size_t i, std::string const& service,
    std::string const& key, std::string const& text) -> std::uint64_t
{
    auto const id = ++next_caller_;
    callers[id] = {};
    deliver(i,
        caller_booking{{id},
            {config.name, service, key, "item-" + key, text, milliseconds{200}},
            1'000});
    return id;
}

auto world::read_config(std::size_t i, customer_config const& c) -> void
{
    deliver(i, config_read{c});
}

auto world::run_after(us wait, std::function<void()> f) -> void
{
    queue_.push({now + wait, ++order_, std::move(f)});
}

auto world::run_for(us span) -> void
{
    auto const end = now + span;
    while (!queue_.empty() && queue_.top().when <= end)
    {
        auto const next = queue_.top();
        queue_.pop();
        now = next.when;
        next.what();
        if (after_event)
            after_event();
    }
    now = end;
}

auto world::crash(std::string const& address, us down) -> void
{
    auto& l = leafs.at(address);
    ++l.crashes;
    ++l.boot;
    l.down = true;
    l.in_flight = 0;
    auto const lost = std::exchange(l.open, {});
    for (auto const c : lost)
    {
        auto const delay =
            crash_notice_stagger * static_cast<us::rep>(owner_of_.at(c));
        deliver_to_owner(c, leaf_closed{c, false}, us{200} + delay);
    }
    run_after(down, [&l] { l.down = false; });
}

auto world::draw(std::int64_t below) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>{0, below - 1}(random_);
}

} // namespace fakes
