// The simulated ports: executes the commands of instances and delivers the
// events that result.
#include "fakes.hpp"

namespace fakes
{

auto world::index_of(instance_id id) const -> std::size_t
{
    for (std::size_t i = 0; i < instances.size(); ++i)
        if (id_of<instance_id>(instances[i]->info.name) == id)
            return i;
    return instances.size();
}

auto world::deliver(std::size_t i, event const& e) -> void
{
    auto& n = *instances[i];
    if (!n.live_node || n.exited)
        return;
    if (n.paused)
        return n.deferred_events.push_back(e);
    for (auto const& c : n.live_node->handle(e, now))
        execute(i, c);
    for (auto const& c : n.live_node->handle(turn_ended{}, now))
        execute(i, c);
}

auto world::deliver_after(std::size_t i, us wait, event e) -> void
{
    auto const incarnation = instances[i]->incarnation;
    run_after(wait,
        [this, i, incarnation, e = std::move(e)]
        {
            if (instances[i]->incarnation == incarnation)
                deliver(i, e);
        });
}

auto world::answer_after(std::size_t i, us wait, event e) -> void
{
    if (platform.era > 0)
        deliver_after(i, wait, era_observed{platform.era});
    deliver_after(i, wait, std::move(e));
}

auto world::deliver_to_owner(connection_id c, event e, us wait) -> void
{
    deliver_after(owner_of_.at(c), wait, std::move(e));
}

auto world::report(fake_leaf const& l) const -> target_report
{
    return {{l.boot}, l.versions, l.draining};
}

auto world::find_leaf(connection_id c) -> fake_leaf*
{
    auto const it = leaf_of_.find(c);
    return it == leaf_of_.end() ? nullptr : &leafs.at(it->second);
}

auto world::open(std::size_t i, leaf_open const& c) -> void
{
    owner_of_[c.connection] = i;
    leaf_of_[c.connection] = c.address;
    run_after(us{500 + draw(500)},
        [this, c]
        {
            auto& l = leafs.at(c.address);
            if (l.down)
                return deliver_to_owner(
                    c.connection, leaf_closed{c.connection, true}, us{0});
            l.open.insert(c.connection);
            if (!l.frozen)
                deliver_to_owner(
                    c.connection, leaf_opened{c.connection, report(l)}, us{0});
        });
}

auto world::respond(connection_id c, attempt_id a, leaf_outcome const& o)
    -> void
{
    auto* l = find_leaf(c);
    if (l == nullptr || !l->open.contains(c) ||
        l->silent_connections.contains(c) || l->frozen)
        return;
    auto const id = l->mismatched_id ? attempt_id{a.value + 1} : a;
    deliver_to_owner(c, leaf_answered{c, id, report(*l), o}, us{100});
}

auto world::receive(connection_id c, attempt_id a, std::string const& text)
    -> fake_leaf*
{
    auto* l = find_leaf(c);
    if (l == nullptr || !l->open.contains(c))
        return nullptr;
    ++l->received;
    request_log.emplace_back(now, leaf_of_.at(c));
    if (!l->crash_on.empty() && text == l->crash_on)
    {
        run_after(l->crash_after,
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

auto world::search(leaf_search const& s) -> void
{
    auto* l = receive(s.connection, s.attempt, s.text);
    if (l == nullptr)
        return;
    auto const wait = l->latency / 2 + us{draw(l->latency.count() + 1)};
    run_after(wait,
        [this, l, s]
        {
            end_request(*l);
            if (l->cancelled.contains(s.attempt))
                return;
            auto const has = std::find(
                l->versions.begin(), l->versions.end(), s.at.index_version);
            if (has == l->versions.end() || s.at.epoch != l->epoch)
                return respond(s.connection, s.attempt, leaf_wrong_snapshot{});
            if (draw(100) < l->fail_percent)
                return respond(s.connection, s.attempt, leaf_failed{500});
            auto rows = shard_rows{s.shard, s.at, {}};
            rows.shard.value += l->wrong_shard ? 1 : 0;
            rows.rows.push_back({1.0, row_key(rows.shard, s.at, s.text)});
            respond(s.connection, s.attempt, leaf_rows{rows});
        });
}

auto world::book(leaf_book const& b) -> void
{
    auto* l = receive(b.connection, b.attempt, b.text);
    if (l == nullptr)
        return;
    auto const wait = l->latency / 2 + us{draw(l->latency.count() + 1)};
    run_after(wait,
        [this, l, b]
        {
            end_request(*l);
            ++l->booking_runs[b.text];
            if (!l->drop_booking_replies)
                respond(b.connection, b.attempt, leaf_booked{"ref-" + b.key});
        });
}

auto world::cancel(leaf_cancel const& c) -> void
{
    auto& l = leafs.at(c.address);
    run_after(us{500},
        [this, &l, c]
        {
            l.cancelled.insert(c.attempt);
            for (auto const it : l.open)
                if (current_attempt_[it] == c.attempt)
                    respond(it, c.attempt, leaf_cancelled{});
        });
}

auto world::send(std::size_t i, peer_send const& p) -> void
{
    auto const to = index_of(p.to);
    if (to >= instances.size() || cut_links.contains({i, to}))
        return;
    auto const from = id_of<instance_id>(instances[i]->info.name);
    deliver_after(
        to, us{300 + draw(400)} + peer_delay, peer_received{from, p.messages});
}

auto world::call_platform(std::size_t i, event const& failed,
    std::function<void()> const& act) -> void
{
    run_after(us{1'000 + draw(2'000)},
        [this, i, failed, act]
        {
            if (platform.down)
                return deliver_after(i, us{100'000}, failed);
            act();
        });
}

auto world::loses_answer(std::size_t i, event const& failed) -> bool
{
    if (platform.lose_answers == 0)
        return false;
    --platform.lose_answers;
    deliver_after(i, us{50'000}, failed);
    return true;
}

auto world::store_claims(std::size_t i, claims_write const& w) -> void
{
    auto const key = std::pair{w.bucket.service.value, w.bucket.shard.value};
    auto const failed = claims_failed{w.bucket};
    call_platform(i, failed,
        [this, i, w, key, failed]
        {
            auto& o = platform.buckets[key];
            if (version_of(o) != w.if_version)
                return answer_after(i, us{1'000},
                    claims_stored{w.bucket, version_of(o), o.claims});
            o = {o.version + 1, w.claims};
            ++platform.writes;
            if (!loses_answer(i, failed))
                answer_after(
                    i, us{1'000}, claims_written{w.bucket, version_of(o)});
        });
}

auto world::load_claims(std::size_t i, claims_read const& r) -> void
{
    auto const key = std::pair{r.bucket.service.value, r.bucket.shard.value};
    call_platform(i, claims_failed{r.bucket},
        [this, i, r, key]
        {
            auto const& o = platform.buckets[key];
            answer_after(
                i, us{1'000}, claims_stored{r.bucket, version_of(o), o.claims});
        });
}

auto world::store_rollout(std::size_t i, rollout_write const& w) -> void
{
    auto const failed = rollout_failed{w.service};
    call_platform(i, failed,
        [this, i, w, failed]
        {
            auto& o = platform.rollouts[w.service.value];
            if (version_of(o) == w.if_version)
            {
                o = {o.version + 1, w.value};
                platform.history.push_back(w.value);
                if (loses_answer(i, failed))
                    return;
            }
            answer_after(i, us{1'000},
                rollout_stored{w.service, version_of(o), o.value});
        });
}

auto world::load_rollout(std::size_t i, rollout_read const& r) -> void
{
    call_platform(i, rollout_failed{r.service},
        [this, i, r]
        {
            auto const& o = platform.rollouts[r.service.value];
            answer_after(i, us{1'000},
                rollout_stored{r.service, version_of(o), o.value});
        });
}

auto world::wake(std::size_t i, time_point when) -> void
{
    auto& n = *instances[i];
    if (n.next_wake && *n.next_wake <= when && *n.next_wake > now)
        return;
    n.next_wake = when;
    deliver_after(i, std::max(us{0}, when - now), tick{});
}

auto world::execute(std::size_t i, command const& c) -> void
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
                if (auto* l = find_leaf(it.connection))
                    l->open.erase(it.connection);
            },
            [&](leaf_search const& it)
            {
                current_attempt_[it.connection] = it.attempt;
                run_after(us{100}, [this, it] { search(it); });
            },
            [&](leaf_book const& it)
            {
                current_attempt_[it.connection] = it.attempt;
                run_after(us{100}, [this, it] { book(it); });
            },
            [&](leaf_cancel const& it) { cancel(it); },
            [&](peer_send const& it) { send(i, it); },
            [&](claims_read const& it) { load_claims(i, it); },
            [&](rollout_read const& it) { load_rollout(i, it); },
            [&](rollout_write const& it) { store_rollout(i, it); },
            [&](claims_write const& it) { store_claims(i, it); },
            [&](watch_config const& it) { instances[i]->watching = it.on; },
            [&](wake_at const& it) { wake(i, it.when); },
            [&](enter_era const& it) { instances[i]->entered_era = it.era; },
            [&](exit_now const&) { instances[i]->exited = true; },
            [](auto const&) {
            }},
        c);
}

} // namespace fakes
