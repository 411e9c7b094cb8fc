/// The node: one event in, commands out. The entry point of every front end.
#ifndef KNAPWEEDSTREAM_CORE_NODE_HPP
#define KNAPWEEDSTREAM_CORE_NODE_HPP

#include "port/command.hpp"
#include "port/event.hpp"

#include <knapweedstream/limits.hpp>
#include <knapweedstream/topology.hpp>

#include <compare>
#include <cstdint>
#include <memory>

namespace knapweedstream
{

/// Which replica choice a node uses.
enum class selector_kind : std::uint8_t
{
    random,
    round_robin,
    two_choices,
    credit,
};

/// Mechanisms that can be switched off, to compare with a naive node.
struct node_policy
{
    selector_kind selector = selector_kind::two_choices;
    bool hedging = true;    ///< Second request to a straggler's sibling.
    bool retries = true;    ///< Another replica after a failure.
    bool slow_start = true; ///< Cold targets are warmed by one owner.
    bool canary = true;     ///< New requests run on one shard first.
    bool ejection = true;   ///< Failing targets get a pause.

    auto operator<=>(node_policy const&) const = default;
};

/// What a node is started with.
struct node_init
{
    instance_info self;
    std::uint64_t incarnation = 1; ///< New at each start; seeds all numbers.
    node_limits limits;
    node_policy policy;
    std::int64_t wall_offset_us = 0; ///< Wall clock at time 0, since 1970.

    auto operator<=>(node_init const&) const = default;
};

/// Counters since the start.
struct node_stats
{
    std::uint64_t queries = 0;              ///< Caller queries taken.
    std::uint64_t complete = 0;             ///< Answered with full coverage.
    std::uint64_t partial = 0;              ///< Answered with less.
    std::uint64_t refused = 0;              ///< Refused, not run.
    std::uint64_t reruns = 0;               ///< Runs at a second snapshot.
    std::uint64_t leaf_requests_needed = 0; ///< Shards that had to be asked.
    std::uint64_t leaf_requests_sent = 0;   ///< Requests sent to targets.
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t sheds = 0;         ///< Overload answers of targets.
    std::uint64_t stale_answers = 0; ///< Late, crossed or other snapshot.
    std::uint64_t unresponsive_connections = 0; ///< Silent connections closed.
    std::uint64_t connects = 0;
    std::uint64_t owner_failovers = 0;
    std::uint64_t bookings = 0;
    std::uint64_t bookings_done = 0;
    std::uint64_t bookings_not_run = 0;
    std::uint64_t bookings_unknown = 0;
    std::uint64_t claim_writes = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t config_accepted = 0;

    auto operator<=>(node_stats const&) const = default;
};

/// Gauges at the time of asking.
struct node_gauges
{
    std::uint64_t queries_open = 0;
    std::uint64_t connections = 0;
    std::uint64_t peers_alive = 0;
    std::uint64_t targets_owned = 0;
    std::uint64_t targets_warm = 0;
    bool ready = false; ///< Knows a snapshot of each service.
    bool leaving = false;

    auto operator<=>(node_gauges const&) const = default;
};

/// A rollout as this node sees it.
struct rollout_view
{
    std::string service;
    std::uint32_t id = 0;
    std::uint32_t percent = 0; ///< Share of the new version.
    rollout_phase phase = rollout_phase::running;
    rollout_fault fault = rollout_fault::none;
    std::int64_t changed_ms = 0;

    auto operator<=>(rollout_view const&) const = default;
};

struct node_state;

/// A node of the query tier: decisions only, no I/O and no clock.
class node
{
public:
    /// @param[in] init Identity, limits and policy.
    /// @param[in] now Present time.
    node(node_init const& init, time_point now);
    ~node();
    node(node&&) noexcept;
    auto operator=(node&&) noexcept -> node&;
    node(node const&) = delete;
    auto operator=(node const&) -> node& = delete;

    /// Handles one event.
    ///
    /// @param[in] e What happened.
    /// @param[in] now Present time, never before that of earlier calls.
    /// @returns What is to be done, in order.
    auto handle(event const& e, time_point now) -> commands;

    /// Counters since the start.
    auto stats() const -> node_stats const&;

    /// Present gauges.
    auto gauges() const -> node_gauges;

    /// Configurations in force.
    auto configs() const -> std::vector<customer_config>;

    /// Rollouts that are configured.
    auto rollouts() const -> std::vector<rollout_view>;

    /// Other instances, with whether each takes work.
    auto peers() const -> std::vector<std::pair<instance_info, bool>>;

private:
    std::unique_ptr<node_state> state_;
};

} // namespace knapweedstream

#endif
