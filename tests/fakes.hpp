/// Fakes at the ports of a node, in virtual time: leafs, platform, peers.
///
/// Each command is answered by the event that the real adapter would bring,
/// after a delay drawn from a seed. Faults are fields that a test sets.
#ifndef KNAPWEEDSTREAM_TESTS_FAKES_HPP
#define KNAPWEEDSTREAM_TESTS_FAKES_HPP

#include "core/node.hpp"

#include <knapweedstream/overloaded.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fakes
{

using namespace knapweedstream;
using us = duration;

/// A target.
struct fake_leaf
{
    target_info info;
    std::uint32_t epoch = 1;
    std::vector<std::uint64_t> versions{1};
    std::uint64_t boot = 1;
    us latency{2'000};
    bool dead = false;    ///< Connections are refused.
    bool frozen = false;  ///< Nothing is answered.
    bool crossed = false; ///< Answers carry another attempt's id.
    bool wrong_shard = false;
    bool draining = false;
    bool shedding = false;
    bool mute_bookings = false;
    std::uint32_t fail_percent = 0; ///< Searches that fail.
    std::string crash_on;
    us crash_after{500};
    std::map<std::string, int> ledger; ///< Runs by booking text.
    std::set<connection_id> open;
    std::set<connection_id> silent;
    std::set<attempt_id> cancelled;
    std::uint32_t in_flight = 0;
    std::uint32_t max_in_flight = 0; ///< Greatest since last reset.
    std::uint32_t received = 0;
    std::uint32_t crashes = 0;
};

/// The platform's claims.
struct fake_platform
{
    struct object
    {
        std::uint64_t version = 0;
        std::vector<claim> claims;
    };
    std::map<std::pair<std::uint64_t, std::uint32_t>, object> buckets;
    struct stored_rollout
    {
        std::uint64_t version = 0;
        rollout value;
    };
    std::map<std::uint64_t, stored_rollout> rollouts;
    std::vector<rollout> history; ///< States that were stored, in order.
    bool down = false;
    std::uint32_t lose_answers = 0; ///< Next writes: effect, no answer.
    std::uint64_t writes = 0;
};

/// What a caller got.
struct outcome
{
    std::optional<query_answer> answer;
    std::optional<refusal> refused;
    std::optional<booking_answer> booking;
    std::uint32_t count = 0; ///< Answers received; must end as 1.
    time_point at;
};

/// One instance in the fake world.
struct fake_instance
{
    instance_info info;
    std::optional<node> it;
    bool paused = false;
    bool exited = false;
    std::uint32_t incarnation = 1;
    std::vector<event> while_paused;
    std::optional<time_point> wake;
    bool watching = false;
};

/// Instances, leafs and platform, driven by one queue of timed actions.
class world
{
public:
    explicit world(std::uint64_t seed) : random_(seed) {}

    node_limits limits;
    node_policy policy;
    std::vector<std::unique_ptr<fake_instance>> instances;
    std::map<std::string, fake_leaf> leafs; ///< By address.
    fake_platform platform;
    std::map<std::uint64_t, outcome> callers;
    std::set<std::pair<std::size_t, std::size_t>> cut; ///< From, to.
    time_point now{us{1'000'000}};
    customer_config config;
    std::vector<std::pair<time_point, std::string>> work_log; ///< Address.
    bool listed_only_first = false;    ///< The list names one instance.
    std::function<void()> after_event; ///< Checked after each event.

    auto add_instance(std::string const& name, std::string const& zone)
        -> std::size_t
    {
        instances.push_back(std::make_unique<fake_instance>());
        instances.back()->info = {name, name + ":1", zone, false};
        start(instances.size() - 1);
        return instances.size() - 1;
    }

    auto start(std::size_t i) -> void
    {
        auto& n = *instances[i];
        if (n.it && !n.exited)
            return;
        n.exited = false;
        n.paused = false;
        n.it.emplace(node_init{n.info, seed_of(n), limits, policy}, now);
        give(i, tick{});
        auto listed = std::vector<instance_info>{};
        for (auto const& it : instances)
            if (!listed_only_first || it == instances.front())
                listed.push_back(it->info);
        for (std::size_t k = 0; k < instances.size(); ++k)
            give(k, instances_listed{listed});
        if (!config.name.empty())
            give(i, config_read{config});
    }

    /// Ends an instance without warning; peers and leafs see it go.
    auto kill(std::size_t i) -> void
    {
        auto& n = *instances[i];
        n.it.reset();
        n.while_paused.clear();
        n.wake.reset();
        ++n.incarnation;
        for (auto& [address, l] : leafs)
            std::erase_if(
                l.open, [&](connection_id c) { return owner_of_[c] == i; });
    }

    auto pause(std::size_t i) -> void { instances[i]->paused = true; }

    auto resume(std::size_t i) -> void
    {
        auto& n = *instances[i];
        if (!n.paused)
            return;
        n.paused = false;
        auto const missed = std::exchange(n.while_paused, {});
        // Timers and what has arrived meanwhile may come in either order.
        auto const timers_first = draw(2) == 0;
        if (timers_first)
            give(i, tick{});
        for (auto const& e : missed)
            give(i, e);
        if (!timers_first)
            give(i, tick{});
    }

    /// A service with replicas in the zones in turn.
    auto add_service(std::string const& name, std::uint32_t shards,
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

    auto publish() -> void
    {
        ++config.version;
        for (std::size_t i = 0; i < instances.size(); ++i)
            give(i, config_read{config});
    }

    auto query(std::size_t i, std::string const& service,
        std::string const& text, milliseconds deadline = milliseconds{200})
        -> std::uint64_t
    {
        auto const id = ++next_caller_;
        callers[id] = {};
        give(
            i, caller_query{{id}, {config.name, service, text, deadline, 100}});
        return id;
    }

    auto book(std::size_t i, std::string const& service, std::string const& key,
        milliseconds deadline = milliseconds{200}) -> std::uint64_t
    {
        auto const id = ++next_caller_;
        callers[id] = {};
        give(i, caller_booking{{id},
                    {config.name, service, key, "item-" + key, key, deadline},
                    1'000});
        return id;
    }

    auto book_text(std::size_t i, std::string const& service,
        std::string const& key, std::string const& text) -> std::uint64_t
    {
        auto const id = ++next_caller_;
        callers[id] = {};
        give(i, caller_booking{{id},
                    {config.name, service, key, "item-" + key, text,
                        milliseconds{200}},
                    1'000});
        return id;
    }

    auto read_config(std::size_t i, customer_config const& c) -> void
    {
        give(i, config_read{c});
    }

    auto stop(std::size_t i) -> void { give(i, stop_requested{}); }

    /// Does something at a later time.
    auto at(us wait, std::function<void()> f) -> void
    {
        queue_.push({now + wait, ++order_, std::move(f)});
    }

    auto run_for(us span) -> void
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

    /// Crash of a leaf: connections are lost, a new boot after a while.
    auto crash(std::string const& address, us down = us{100'000}) -> void
    {
        auto& l = leafs.at(address);
        ++l.crashes;
        ++l.boot;
        l.dead = true;
        l.in_flight = 0;
        auto const lost = std::exchange(l.open, {});
        for (auto const c : lost)
        {
            auto const later =
                crash_told_apart * static_cast<us::rep>(owner_of_.at(c));
            to_owner(c, leaf_closed{c, false}, us{200} + later);
        }
        at(down, [&l] { l.dead = false; });
    }

    /// Each instance hears of a crash so much later than the one before it.
    us crash_told_apart{0};

    /// Share of a number below 1, for random delays.
    auto draw(std::int64_t below) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>{0, below - 1}(
            random_);
    }

private:
    struct action
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> what;

        auto operator>(action const& it) const -> bool
        {
            return std::pair{when, order} > std::pair{it.when, it.order};
        }
    };

    static auto seed_of(fake_instance const& n) -> std::uint64_t
    {
        return hash_name(n.info.name, n.incarnation);
    }

    auto index_of(instance_id id) const -> std::size_t
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (id_of<instance_id>(instances[i]->info.name) == id)
                return i;
        return instances.size();
    }

    auto give(std::size_t i, event const& e) -> void
    {
        auto& n = *instances[i];
        if (!n.it || n.exited)
            return;
        if (n.paused)
            return n.while_paused.push_back(e);
        for (auto const& c : n.it->handle(e, now))
            carry_out(i, c);
        for (auto const& c : n.it->handle(turn_ended{}, now))
            carry_out(i, c);
    }

    auto later(std::size_t i, us wait, event e) -> void
    {
        auto const incarnation = instances[i]->incarnation;
        at(wait,
            [this, i, incarnation, e = std::move(e)]
            {
                if (instances[i]->incarnation == incarnation)
                    give(i, e);
            });
    }

    auto to_owner(connection_id c, event e, us wait) -> void
    {
        later(owner_of_.at(c), wait, std::move(e));
    }

    auto report(fake_leaf const& l) const -> target_report
    {
        return {{l.boot}, l.versions, l.draining};
    }

    auto find(connection_id c) -> fake_leaf*
    {
        auto const it = leaf_of_.find(c);
        return it == leaf_of_.end() ? nullptr : &leafs.at(it->second);
    }

    auto open(std::size_t i, leaf_open const& c) -> void
    {
        owner_of_[c.connection] = i;
        leaf_of_[c.connection] = c.address;
        at(us{500 + draw(500)},
            [this, c]
            {
                auto& l = leafs.at(c.address);
                if (l.dead)
                    return to_owner(
                        c.connection, leaf_closed{c.connection, true}, us{0});
                l.open.insert(c.connection);
                if (!l.frozen)
                    to_owner(c.connection, leaf_opened{c.connection, report(l)},
                        us{0});
            });
    }

    auto respond(connection_id c, attempt_id a, leaf_outcome const& o) -> void
    {
        auto* l = find(c);
        if (l == nullptr || !l->open.contains(c) || l->silent.contains(c) ||
            l->frozen)
            return;
        auto const id = l->crossed ? attempt_id{a.value + 1} : a;
        to_owner(c, leaf_answered{c, id, report(*l), o}, us{100});
    }

    /// Takes a request in; returns the leaf if it will run it.
    auto receive(connection_id c, attempt_id a, std::string const& text)
        -> fake_leaf*
    {
        auto* l = find(c);
        if (l == nullptr || !l->open.contains(c))
            return nullptr;
        ++l->received;
        work_log.emplace_back(now, leaf_of_.at(c));
        if (!l->crash_on.empty() && text == l->crash_on)
        {
            at(l->crash_after,
                [this, address = leaf_of_.at(c)] { crash(address); });
            return nullptr;
        }
        if (l->shedding)
        {
            respond(c, a, leaf_shed{});
            return nullptr;
        }
        ++l->in_flight;
        l->max_in_flight = std::max(l->max_in_flight, l->in_flight);
        return l;
    }

    auto done(fake_leaf& l) -> void { l.in_flight -= l.in_flight > 0; }

    auto search(leaf_search const& s) -> void
    {
        auto* l = receive(s.connection, s.attempt, s.text);
        if (l == nullptr)
            return;
        auto const wait = l->latency / 2 + us{draw(l->latency.count() + 1)};
        at(wait,
            [this, l, s]
            {
                done(*l);
                if (l->cancelled.contains(s.attempt))
                    return;
                auto const has = std::find(
                    l->versions.begin(), l->versions.end(), s.at.index_version);
                if (has == l->versions.end() || s.at.epoch != l->epoch)
                    return respond(
                        s.connection, s.attempt, leaf_wrong_snapshot{});
                if (draw(100) < l->fail_percent)
                    return respond(s.connection, s.attempt, leaf_failed{500});
                auto rows = shard_rows{s.shard, s.at, {}};
                rows.shard.value += l->wrong_shard ? 1 : 0;
                rows.rows.push_back({1.0, row_key(rows.shard, s.at, s.text)});
                respond(s.connection, s.attempt, leaf_rows{rows});
            });
    }

    auto book(leaf_book const& b) -> void
    {
        auto* l = receive(b.connection, b.attempt, b.text);
        if (l == nullptr)
            return;
        auto const wait = l->latency / 2 + us{draw(l->latency.count() + 1)};
        at(wait,
            [this, l, b]
            {
                done(*l);
                ++l->ledger[b.text];
                if (!l->mute_bookings)
                    respond(
                        b.connection, b.attempt, leaf_booked{"ref-" + b.key});
            });
    }

    auto cancel(leaf_cancel const& c) -> void
    {
        auto& l = leafs.at(c.address);
        at(us{500},
            [this, &l, c]
            {
                l.cancelled.insert(c.attempt);
                for (auto const it : l.open)
                    if (busy_[it] == c.attempt)
                        respond(it, c.attempt, leaf_cancelled{});
            });
    }

    auto send(std::size_t i, peer_send const& p) -> void
    {
        auto const to = index_of(p.to);
        if (to >= instances.size() || cut.contains({i, to}))
            return;
        auto const from = id_of<instance_id>(instances[i]->info.name);
        later(to, us{300 + draw(400)}, peer_received{from, p.messages});
    }

    auto store(std::size_t i, claims_write const& w) -> void
    {
        auto const key =
            std::pair{w.bucket.service.value, w.bucket.shard.value};
        at(us{1'000 + draw(2'000)},
            [this, i, w, key]
            {
                if (platform.down)
                    return later(i, us{100'000}, claims_failed{w.bucket});
                auto& o = platform.buckets[key];
                if (o.version != w.if_version)
                    return later(i, us{1'000},
                        claims_stored{w.bucket, o.version, o.claims});
                o = {o.version + 1, w.claims};
                ++platform.writes;
                if (platform.lose_answers == 0)
                    return later(
                        i, us{1'000}, claims_written{w.bucket, o.version});
                --platform.lose_answers;
                later(i, us{50'000}, claims_failed{w.bucket});
            });
    }

    auto load(std::size_t i, claims_read const& r) -> void
    {
        auto const key =
            std::pair{r.bucket.service.value, r.bucket.shard.value};
        at(us{1'000 + draw(2'000)},
            [this, i, r, key]
            {
                if (platform.down)
                    return later(i, us{100'000}, claims_failed{r.bucket});
                auto const& o = platform.buckets[key];
                later(
                    i, us{1'000}, claims_stored{r.bucket, o.version, o.claims});
            });
    }

    auto store_rollout(std::size_t i, rollout_write const& w) -> void
    {
        at(us{1'000 + draw(2'000)},
            [this, i, w]
            {
                if (platform.down)
                    return later(i, us{100'000}, rollout_failed{w.service});
                auto& o = platform.rollouts[w.service.value];
                if (o.version == w.if_version)
                {
                    o = {o.version + 1, w.value};
                    platform.history.push_back(w.value);
                    if (platform.lose_answers > 0)
                    {
                        --platform.lose_answers;
                        return later(i, us{50'000}, rollout_failed{w.service});
                    }
                }
                later(i, us{1'000},
                    rollout_stored{w.service, o.version, o.value});
            });
    }

    auto load_rollout(std::size_t i, rollout_read const& r) -> void
    {
        at(us{1'000 + draw(2'000)},
            [this, i, r]
            {
                if (platform.down)
                    return later(i, us{100'000}, rollout_failed{r.service});
                auto const& o = platform.rollouts[r.service.value];
                later(i, us{1'000},
                    rollout_stored{r.service, o.version, o.value});
            });
    }

    auto wake(std::size_t i, time_point when) -> void
    {
        auto& n = *instances[i];
        if (n.wake && *n.wake <= when && *n.wake > now)
            return;
        n.wake = when;
        later(i, std::max(us{0}, when - now), tick{});
    }

    auto carry_out(std::size_t i, command const& c) -> void
    {
        std::visit(
            overloaded{[&](answer_query const& it)
                {
                    auto& o = callers[it.caller.value];
                    o.answer = it.answer;
                    o.at = now;
                    ++o.count;
                },
                [&](refuse_query const& it)
                {
                    auto& o = callers[it.caller.value];
                    o.refused = it.reason;
                    o.at = now;
                    ++o.count;
                },
                [&](answer_booking const& it)
                {
                    auto& o = callers[it.caller.value];
                    o.booking = it.answer;
                    o.at = now;
                    ++o.count;
                },
                [&](leaf_open const& it) { open(i, it); },
                [&](leaf_close const& it)
                {
                    if (auto* l = find(it.connection))
                        l->open.erase(it.connection);
                },
                [&](leaf_search const& it)
                {
                    busy_[it.connection] = it.attempt;
                    at(us{100}, [this, it] { search(it); });
                },
                [&](leaf_book const& it)
                {
                    busy_[it.connection] = it.attempt;
                    at(us{100}, [this, it] { book(it); });
                },
                [&](leaf_cancel const& it) { cancel(it); },
                [&](peer_send const& it) { send(i, it); },
                [&](claims_read const& it) { load(i, it); },
                [&](rollout_read const& it) { load_rollout(i, it); },
                [&](rollout_write const& it) { store_rollout(i, it); },
                [&](claims_write const& it) { store(i, it); },
                [&](watch_config const& it) { instances[i]->watching = it.on; },
                [&](wake_at const& it) { wake(i, it.when); },
                [&](exit_now const&) { instances[i]->exited = true; },
                [](auto const&) {
                }},
            c);
    }

public:
    /// Key of a leaf's row: says what it was made from.
    static auto row_key(shard_id shard, snapshot at, std::string const& text)
        -> std::string
    {
        return std::to_string(shard.value) + "/" + std::to_string(at.epoch) +
               "/" + std::to_string(at.index_version) + "/" + text;
    }

private:
    std::mt19937_64 random_;
    std::priority_queue<action, std::vector<action>, std::greater<>> queue_;
    std::uint64_t order_ = 0;
    std::uint64_t next_caller_ = 0;
    std::map<connection_id, std::size_t> owner_of_;
    std::map<connection_id, std::string> leaf_of_;
    std::map<connection_id, attempt_id> busy_;
};

/// Three instances in two zones and one service, warmed up.
inline auto standard_world(std::uint64_t seed, std::uint32_t shards = 6)
    -> std::unique_ptr<world>
{
    auto w = std::make_unique<world>(seed);
    w->config.name = "regie";
    w->add_service("voorraad", shards, {"gent-dok", "brugge-zuid"});
    w->add_instance("entry-1", "gent-dok");
    w->add_instance("entry-2", "brugge-zuid");
    w->add_instance("entry-3", "gent-dok");
    w->publish();
    w->run_for(milliseconds{500});
    for (auto i = 0; i < 40; ++i)
    {
        w->query(i % 3, "voorraad", "warm-" + std::to_string(i));
        w->run_for(milliseconds{30});
    }
    w->run_for(milliseconds{500});
    return w;
}

} // namespace fakes

#endif
