/// Interface of a node: each event goes in, the resulting commands come out.
/// Every front end drives the query tier through this class.
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

/// Algorithm that chooses a replica for a request.
enum class selector_kind : std::uint8_t
{
    random,
    round_robin,
    two_choices,
    credit,
};

/// Mechanisms that can be switched off, to compare a node with one that lacks
/// them.
struct node_policy
{
    selector_kind selector = selector_kind::two_choices;
    bool hedging = true;    ///< Asks a second replica if the first is slow.
    bool retries = true;    ///< Asks another replica after a failure.
    bool slow_start = true; ///< Little load on cold targets, from one owner.
    bool canary = true;     ///< Tries a new request on one shard first.
    bool ejection = true;   ///< Stops using a failing target for a while.

    auto operator<=>(node_policy const&) const = default;
};

/// Parameters that a node is started with.
struct node_init
{
    instance_info self;
    std::uint64_t incarnation = 1; ///< Differs at each start; seeds randomness.
    node_limits limits;
    node_policy policy;
    /// Wall clock at time point 0, in microseconds since 1970.
    std::int64_t wall_offset_us = 0;

    auto operator<=>(node_init const&) const = default;
};

/// Event counts since the node was started.
struct node_stats
{
    std::uint64_t queries = 0;  ///< Queries received from callers.
    std::uint64_t complete = 0; ///< Answered from all shards.
    std::uint64_t partial = 0;  ///< Answered with shards missing.
    std::uint64_t refused = 0;  ///< Refused instead of answered.
    std::uint64_t reruns = 0;   ///< Queries restarted at another snapshot.
    /// Shards to ask, summed over all runs of all queries.
    std::uint64_t leaf_requests_needed = 0;
    /// Requests sent to targets, of any kind.
    std::uint64_t leaf_requests_sent = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t sheds = 0; ///< Overload responses of targets.
    /// Discarded answers: late, to another request, or from another snapshot.
    std::uint64_t stale_answers = 0;
    /// Connections closed because the target did not answer on them.
    std::uint64_t unresponsive_connections = 0;
    std::uint64_t connects = 0;
    std::uint64_t owner_failovers = 0;
    std::uint64_t bookings = 0;
    std::uint64_t bookings_done = 0;
    std::uint64_t bookings_not_run = 0;
    std::uint64_t bookings_unknown = 0;
    std::uint64_t claim_writes = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t config_accepted = 0;
    std::uint64_t platform_restores = 0; ///< Changes of its era.

    auto operator<=>(node_stats const&) const = default;
};

/// Current values of a node's gauges.
struct node_gauges
{
    std::uint64_t queries_open = 0;
    std::uint64_t connections = 0;
    std::uint64_t peers_alive = 0;   ///< Peers that take new work.
    std::uint64_t targets_owned = 0; ///< Have an open or opening connection.
    std::uint64_t targets_warm = 0;
    /// Every shard of the configured services has an owner that can serve it,
    /// and the node is not leaving. False without services.
    bool ready = false;
    bool leaving = false;

    auto operator<=>(node_gauges const&) const = default;
};

/// State of a service's rollout as known to this node.
struct rollout_view
{
    std::string service;
    std::uint32_t id = 0;
    std::uint32_t percent = 0; ///< Percentage of requests to the new version.
    rollout_phase phase = rollout_phase::running;
    rollout_fault fault = rollout_fault::none;
    std::int64_t changed_ms = 0; ///< Last change, ms since 1970.

    auto operator<=>(rollout_view const&) const = default;
};

struct node_state;

/// Decision logic of one instance of the query tier. Performs no I/O and reads
/// no clock.
class node
{
public:
    /// @param[in] init Identity, limits and policy.
    /// @param[in] now Current time.
    node(node_init const& init, time_point now);
    ~node();
    node(node&&) noexcept;
    auto operator=(node&&) noexcept -> node&;
    node(node const&) = delete;
    auto operator=(node const&) -> node& = delete;

    /// Handles one event.
    ///
    /// @param[in] e What happened.
    /// @param[in] now Current time; must not be before that of an earlier call.
    /// @returns Commands to carry out, in order.
    auto handle(event const& e, time_point now) -> commands;

    /// Event counts since the node was started.
    auto stats() const -> node_stats const&;

    /// Current gauge values.
    auto gauges() const -> node_gauges;

    /// Customer configurations in force.
    auto configs() const -> std::vector<customer_config>;

    /// Configured rollouts of which a state is known, sorted by service.
    auto rollouts() const -> std::vector<rollout_view>;

    /// Other known instances, each with whether it takes new work.
    auto peers() const -> std::vector<std::pair<instance_info, bool>>;

private:
    std::unique_ptr<node_state> state_;
};

} // namespace knapweedstream

#endif
