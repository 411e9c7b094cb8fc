#include "core/node.hpp"

#include "core/booking_entry.hpp"
#include "core/booking_exec.hpp"
#include "core/config_store.hpp"
#include "core/deadly_request.hpp"
#include "core/entry.hpp"
#include "core/leaf.hpp"
#include "core/membership.hpp"
#include "core/owner.hpp"
#include "core/platform_era.hpp"
#include "core/rollout_driver.hpp"
#include "core/shard_view.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>

namespace knapweedstream
{

namespace
{

/// A timer handled this late shows that the process itself was suspended, so
/// the silence of peers is not counted against them.
constexpr auto stall_threshold = milliseconds{100};

auto on_message(node_state& s, instance_id from, message const& m,
    time_point now, commands& out) -> void
{
    std::visit(
        overloaded{[&](sub_query const& it)
            { on_sub_query(s, from, it, now, out); },
            [&](sub_answer const& it) { on_sub_answer(s, from, it, now, out); },
            [&](sub_cancel const& it) { on_sub_cancel(s, from, it, now, out); },
            [&](heartbeat const& it) { on_heartbeat(s, from, it, now, out); },
            [&](shard_views const& it) { on_shard_views(s, from, it); },
            [&](target_warmth const& it) { on_target_warmth(s, it, now, out); },
            [&](deadly_notice const& it) { on_deadly_notice(s, it, now, out); },
            [&](booking_forward const& it)
            { on_booking_forward(s, from, it, now, out); },
            [&](booking_result const& it) { on_booking_result(s, it, out); },
            [&](config_update const& it)
            { accept_config(s, it.config, from, now, out); },
            [&](rollout_update const& it)
            { on_rollout_update(s, from, it, out); },
            [&](version_fault const& it) { on_version_fault(s, it, out); },
            [&](version_outcomes const& it)
            { on_version_outcomes(s, from, it, out); },
            [&](views_request const&) { send_views(s, from); },
            [&](peer_suspicion const& it) { on_peer_suspicion(s, it, now); },
            [&](config_request const& it)
            {
                on_config_request(s, from, it);
            }},
        m);
}

auto on_peer_received(node_state& s, peer_received const& e, time_point now,
    commands& out) -> void
{
    on_heard_from(s, e.from, now, out);
    for (auto const& it : e.messages)
        on_message(s, e.from, it, now, out);
}

/// Exits once no request has been open for `drain_quiet`, else checks again.
auto on_drain_due(node_state& s, time_point now, commands& out) -> void
{
    auto const busy = !s.queries.empty() || !s.bookings.empty() ||
                      !s.sub_queries.empty() || !s.executions.empty();
    if (busy)
        s.idle_since = now;
    if (now - s.idle_since >= s.init.limits.drain_quiet)
        out.push_back(exit_now{});
    else
        arm(s, now + s.init.limits.drain_quiet / 10, drain_due{});
}

auto on_stop(node_state& s, time_point now, commands& out) -> void
{
    if (s.leaving)
        return;
    s.leaving = true;
    s.idle_since = now;
    out.push_back(announce_leaving{});
    for (auto const& [id, m] : s.members)
        if (m.state == member_state::alive)
        {
            auto self = s.init.self;
            self.leaving = true;
            post(s, id,
                heartbeat{self, s.init.incarnation, 0, true, config_digest(s),
                    view_digest(s, s.self), s.platform_era});
        }
    arm(s, now, drain_due{});
}

auto on_timer(node_state& s, timer const& t, time_point now, commands& out)
    -> void
{
    std::visit(
        overloaded{[&](hedge_due const& it) { on_hedge_due(s, it, now, out); },
            [&](sub_due const& it) { on_sub_due(s, it, now, out); },
            [&](cancel_due const& it) { on_cancel_due(s, it, now, out); },
            [&](connect_timeout_due const& it)
            { on_connect_timeout_due(s, it, now, out); },
            [&](reopen_due const& it)
            { open_connections(s, it.target, now, out); },
            [&](owner_check_due const& it)
            { on_owner_check_due(s, it, now, out); },
            [&](peer_check_due const& it)
            { on_peer_check_due(s, it, now, out); },
            [&](shard_retry_due const& it)
            { on_shard_retry_due(s, it, now, out); },
            [&](canary_due const& it) { on_canary_due(s, it, now, out); },
            [&](query_due const& it) { on_query_due(s, it, now, out); },
            [&](booking_check_due const& it)
            { on_booking_check_due(s, it, now, out); },
            [&](exec_due const& it) { on_exec_due(s, it, now, out); },
            [&](bucket_retry_due const& it)
            { on_bucket_retry_due(s, it, out); },
            [&](heartbeat_due const&)
            {
                on_heartbeat_due(s, now, out);
                drive_rollouts(s, now, out);
            },
            [&](config_settle_due const& it)
            { on_config_settle_due(s, it, now, out); },
            [&](drain_due const&)
            {
                on_drain_due(s, now, out);
            }},
        t);
}

auto run_timers(node_state& s, time_point now, commands& out) -> void
{
    if (!s.timers.empty() && now - s.timers.top().when > stall_threshold)
        reset_unanswered_probes(s, now);
    while (!s.timers.empty() && s.timers.top().when <= now)
    {
        auto const t = s.timers.top().what;
        s.timers.pop();
        on_timer(s, t, now, out);
    }
}

/// Handles the messages that this node posted to itself, including those that
/// are posted meanwhile.
auto run_loopback(node_state& s, time_point now, commands& out) -> void
{
    while (!s.loopback.empty())
    {
        auto const m = std::move(s.loopback.front());
        s.loopback.pop_front();
        on_message(s, s.self, m, now, out);
        if (s.loopback.empty())
            flush_answers(s);
    }
}

/// Sends the batched messages and requests the next tick.
auto end_turn(node_state& s, time_point now, commands& out) -> void
{
    flush_answers(s);
    run_loopback(s, now, out);
    for (auto& [to, messages] : s.outbox)
        if (!messages.empty())
        {
            auto batch = std::vector<message>{};
            batch.swap(messages);
            out.push_back(peer_send{to, std::move(batch)});
        }
    if (s.timers.empty() || s.timers.top().when == s.next_wake)
        return;
    s.next_wake = s.timers.top().when;
    out.push_back(wake_at{s.next_wake});
}

auto on_event(node_state& s, event const& e, time_point now, commands& out)
    -> void
{
    std::visit(
        overloaded{[&](caller_query const& it)
            { on_caller_query(s, it, now, out); },
            [&](caller_booking const& it)
            { on_caller_booking(s, it, now, out); },
            [&](caller_gone const& it) { on_caller_gone(s, it, now, out); },
            [&](leaf_opened const& it) { on_leaf_opened(s, it, now, out); },
            [&](leaf_closed const& it) { on_leaf_closed(s, it, now, out); },
            [&](leaf_answered const& it) { on_leaf_answered(s, it, now, out); },
            [&](peer_received const& it) { on_peer_received(s, it, now, out); },
            [&](config_read const& it)
            { accept_config(s, it.config, {}, now, out); },
            [&](instances_listed const& it)
            { on_instances_listed(s, it, now, out); },
            [&](claims_stored const& it) { on_claims_stored(s, it, now, out); },
            [&](claims_written const& it)
            { on_claims_written(s, it, now, out); },
            [&](rollout_stored const& it) { on_rollout_stored(s, it, out); },
            [&](rollout_failed const& it) { on_rollout_failed(s, it); },
            [&](claims_failed const& it) { on_claims_failed(s, it, now); },
            [&](era_observed const& it)
            { observe_platform_era(s, it.era, now, out); },
            [&](tick const&)
            {
                s.next_wake = {};
                run_timers(s, now, out);
            },
            [&](turn_ended const&) { end_turn(s, now, out); },
            [&](stop_requested const&)
            {
                on_stop(s, now, out);
            }},
        e);
}

/// True if every shard of the service has an owner that can serve an index
/// version.
auto all_shards_served(service_entry const& service) -> bool
{
    for (auto const& shard : service.shards)
    {
        auto known = false;
        for (auto const& [owner, versions] : shard.views)
            known = known || !versions.empty();
        if (!known)
            return false;
    }
    return true;
}

} // namespace

auto arm(node_state& s, time_point when, timer what) -> void
{
    s.timers.push({when, ++s.timer_order, std::move(what)});
}

auto post(node_state& s, instance_id to, message m) -> void
{
    if (to == s.self)
        s.loopback.push_back(std::move(m));
    else
        s.outbox[to].push_back(std::move(m));
}

node::node(node_init const& init, time_point now)
    : state_(std::make_unique<node_state>())
{
    state_->init = init;
    state_->self = id_of<instance_id>(init.self.name);
    state_->random = {hash_name(init.self.name, init.incarnation), 0};
    arm(*state_, now, heartbeat_due{});
}

node::~node() = default;
node::node(node&&) noexcept = default;
auto node::operator=(node&&) noexcept -> node& = default;

auto node::handle(event const& e, time_point now) -> commands
{
    auto out = commands{};
    on_event(*state_, e, now, out);
    run_loopback(*state_, now, out);
    return out;
}

auto node::stats() const -> node_stats const&
{
    return state_->stats;
}

auto node::gauges() const -> node_gauges
{
    auto g = node_gauges{};
    g.queries_open = state_->queries.size();
    g.connections = state_->connections.size();
    g.leaving = state_->leaving;
    for (auto const& [id, m] : state_->members)
        g.peers_alive += takes_work(m) ? 1 : 0;
    for (auto const& [id, t] : state_->targets)
    {
        g.targets_owned += t.connections > 0 ? 1 : 0;
        g.targets_warm += is_warm(t.value) ? 1 : 0;
    }
    g.ready = !state_->services.empty() && !state_->leaving;
    for (auto const& [id, service] : state_->services)
        g.ready = g.ready && all_shards_served(service);
    return g;
}

auto node::configs() const -> std::vector<customer_config>
{
    auto all = std::vector<customer_config>{};
    for (auto const& [id, c] : state_->customers)
        all.push_back(c.config);
    return all;
}

auto node::rollouts() const -> std::vector<rollout_view>
{
    auto all = std::vector<rollout_view>{};
    for (auto const& [id, service] : state_->services)
    {
        auto const& policy = service.info.rollout;
        auto const& e = service.rollout;
        if (policy.id == 0 || e.value.id == 0)
            continue;
        all.push_back(
            {service.info.name, e.value.id, share_percent(e.value, policy),
                e.value.phase, e.value.fault, e.value.changed_ms});
    }
    std::sort(all.begin(), all.end());
    return all;
}

auto node::peers() const -> std::vector<std::pair<instance_info, bool>>
{
    auto all = std::vector<std::pair<instance_info, bool>>{};
    for (auto const& [id, m] : state_->members)
        all.emplace_back(m.info, takes_work(m));
    return all;
}

} // namespace knapweedstream
