/// Messages between instances, apart from their encoding.
#ifndef KNAPWEEDSTREAM_PORT_MESSAGE_HPP
#define KNAPWEEDSTREAM_PORT_MESSAGE_HPP

#include <knapweedstream/booking.hpp>
#include <knapweedstream/query.hpp>

#include <variant>
#include <vector>

namespace knapweedstream
{

/// Names one run of one query; a run is pinned to one snapshot.
struct run_id
{
    query_id query;
    std::uint32_t run = 0;

    auto operator<=>(run_id const&) const = default;
};

/// A start of a target that died; 0 if none is known.
struct lost_target
{
    target_id target;
    boot_id boot;

    auto operator<=>(lost_target const&) const = default;
};

/// Entry to owner: ask these shards.
struct sub_query
{
    run_id id;
    service_id service;
    snapshot at;
    duration time_left{0}; ///< Until the owner must have answered.
    fingerprint request_fingerprint;
    bool suspected = false; ///< A target was lost while it ran this.
    lost_target lost;       ///< That target, if suspected.
    std::string text;
    std::vector<shard_id> shards;

    auto operator<=>(sub_query const&) const = default;
};

/// Owner to entry: rows of shards, and shards given up.
struct sub_answer
{
    run_id id;
    std::vector<shard_rows> answered;
    std::vector<missing_shard> failed;
    lost_target lost; ///< If a shard failed as suspected.

    auto operator<=>(sub_answer const&) const = default;
};

/// Entry to owner: no further answer is wanted.
struct sub_cancel
{
    run_id id;

    auto operator<=>(sub_cancel const&) const = default;
};

/// Probe between instances, with what is needed to stay in step.
struct heartbeat
{
    instance_info self;
    std::uint64_t incarnation = 0;      ///< New at each process start.
    std::uint64_t sequence = 0;         ///< Echoed by the reply.
    bool reply = false;                 ///< This is the answer to a probe.
    std::uint64_t config_digest = 0;    ///< Hash of all versions in force.
    std::uint64_t view_digest = 0;      ///< Hash of the sender's shard views.
    std::vector<instance_info> known{}; ///< A member that the sender knows.

    auto operator<=>(heartbeat const&) const = default;
};

/// Which index versions a shard can serve at present.
struct shard_view
{
    service_id service;
    shard_id shard;
    std::uint32_t epoch = 0;
    bool warming = false; ///< The sender warms a replica and wants requests.
    std::vector<std::uint64_t> versions;

    auto operator<=>(shard_view const&) const = default;
};

/// Owner to all: views that changed.
struct shard_views
{
    std::vector<shard_view> views;
    bool all = false; ///< The sender has no others.

    auto operator<=>(shard_views const&) const = default;
};

/// Asks an owner for all its views.
struct views_request
{
    auto operator<=>(views_request const&) const = default;
};

/// Owner to co-owners: the target's warmth in this boot.
struct target_warmth
{
    target_id target;
    boot_id boot;
    bool warm = false;

    auto operator<=>(target_warmth const&) const = default;
};

/// To all: refuse this request for a time.
struct deadly_notice
{
    fingerprint request_fingerprint;

    auto operator<=>(deadly_notice const&) const = default;
};

/// Entry to owners: this peer did not answer me; look after it.
struct peer_suspicion
{
    instance_id peer;

    auto operator<=>(peer_suspicion const&) const = default;
};

/// Entry to executor: run this booking.
struct booking_forward
{
    query_id id;
    booking_request request;
    duration time_left{0};
    std::int64_t wall_s = 0; ///< Wall clock, seconds since 1970.

    auto operator<=>(booking_forward const&) const = default;
};

/// Executor to entry: outcome of a booking.
struct booking_result
{
    query_id id;
    booking_answer answer;

    auto operator<=>(booking_result const&) const = default;
};

/// A configuration in force at the sender.
struct config_update
{
    customer_config config;

    auto operator<=>(config_update const&) const = default;
};

/// State of a service's rollout, as stored in the platform.
struct rollout_update
{
    service_id service;
    std::uint64_t version = 0; ///< Of the platform's object.
    rollout value;

    auto operator<=>(rollout_update const&) const = default;
};

/// The sender saw the new version fail: stop sending to it.
struct version_fault
{
    service_id service;
    std::uint32_t id = 0; ///< Of the rollout.
    rollout_fault fault = rollout_fault::none;

    auto operator<=>(version_fault const&) const = default;
};

/// Asks for configurations newer than those listed.
struct config_request
{
    /// One known version.
    struct known
    {
        customer_id customer;
        std::uint64_t version = 0;
        auto operator<=>(known const&) const = default;
    };
    std::vector<known> have;

    auto operator<=>(config_request const&) const = default;
};

using message = std::variant<sub_query, sub_answer, sub_cancel, heartbeat,
    shard_views, target_warmth, deadly_notice, booking_forward, booking_result,
    config_update, config_request, peer_suspicion, rollout_update,
    version_fault, views_request>;

} // namespace knapweedstream

template <>
struct std::hash<knapweedstream::run_id>
{
    auto operator()(knapweedstream::run_id const& it) const noexcept
        -> std::size_t
    {
        return std::hash<std::uint64_t>{}(it.query.value * 31 + it.run);
    }
};

#endif
