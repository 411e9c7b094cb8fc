/// Messages between instances, independent of their encoding.
///
/// The entry of a request is the instance that the caller reached. The owners
/// of a shard are the instances that send requests to its targets; the first of
/// them is the primary owner. The executor of a booking is the first available
/// owner of its shard.
#ifndef KNAPWEEDSTREAM_PORT_MESSAGE_HPP
#define KNAPWEEDSTREAM_PORT_MESSAGE_HPP

#include <knapweedstream/booking.hpp>
#include <knapweedstream/query.hpp>

#include <variant>
#include <vector>

namespace knapweedstream
{

/// Identifies a run of a query; each run reads one snapshot.
struct run_id
{
    query_id query;
    std::uint32_t run = 0;

    auto operator<=>(run_id const&) const = default;
};

/// A target that died and the boot in which it died; 0 if none is known.
struct lost_target
{
    target_id target;
    boot_id boot;

    auto operator<=>(lost_target const&) const = default;
};

/// Entry to owner: run a query on the given shards.
struct sub_query
{
    run_id id;
    service_id service;
    snapshot at;
    duration time_left{0}; ///< Time limit for the owner's answer.
    fingerprint request_fingerprint;
    bool suspected = false; ///< A target died while running the query.
    lost_target lost;       ///< Target that died, if suspected.
    std::string text;
    std::vector<shard_id> shards;

    auto operator<=>(sub_query const&) const = default;
};

/// Owner to entry: rows of shards, and shards that failed.
struct sub_answer
{
    run_id id;
    std::vector<shard_rows> answered;
    std::vector<missing_shard> failed;
    lost_target lost; ///< Set if a shard failed with `suspected`.

    auto operator<=>(sub_answer const&) const = default;
};

/// Entry to owner: cancel the rest of a run.
struct sub_cancel
{
    run_id id;

    auto operator<=>(sub_cancel const&) const = default;
};

/// Probe between instances. Its digests show whether configurations and shard
/// views have to be exchanged.
struct heartbeat
{
    instance_info self;
    std::uint64_t incarnation = 0; ///< Changes at each process start.
    std::uint64_t sequence = 0;    ///< Of a probe, echoed in its reply; else 0.
    bool reply = false; ///< Reply or notice of leaving; gets no reply itself.
    std::uint64_t config_digest = 0;    ///< Hash of all configuration versions.
    std::uint64_t view_digest = 0;      ///< Hash of the sender's shard views.
    std::uint64_t platform_era = 0;     ///< Last seen; 0 if none is stated.
    std::vector<instance_info> known{}; ///< At most one random live instance.

    auto operator<=>(heartbeat const&) const = default;
};

/// Index versions of a shard that the sender can currently serve.
struct shard_view
{
    service_id service;
    shard_id shard;
    std::uint32_t epoch = 0; ///< Version of the shard map.
    bool warming = false;    ///< The sender needs requests to warm a replica.
    std::vector<std::uint64_t> versions;

    auto operator<=>(shard_view const&) const = default;
};

/// Owner to all instances: shard views that changed, or all of them.
struct shard_views
{
    std::vector<shard_view> views;
    bool all = false; ///< Complete list; replaces earlier views.

    auto operator<=>(shard_views const&) const = default;
};

/// Asks an owner for all its shard views.
struct views_request
{
    auto operator<=>(views_request const&) const = default;
};

/// Owner to the other owners of a shard: whether a target is warm in its
/// current boot.
struct target_warmth
{
    target_id target;
    boot_id boot;
    bool warm = false;

    auto operator<=>(target_warmth const&) const = default;
};

/// Sent to all instances: refuse a request for `node_limits::fingerprint_ban`,
/// because targets crashed while running it.
struct deadly_notice
{
    fingerprint request_fingerprint;

    auto operator<=>(deadly_notice const&) const = default;
};

/// Entry to owners: an instance did not answer; the receiver probes it.
struct peer_suspicion
{
    instance_id peer;

    auto operator<=>(peer_suspicion const&) const = default;
};

/// Entry to executor: run a booking.
struct booking_forward
{
    query_id id;
    booking_request request;
    duration time_left{0};   ///< Time limit for the executor's answer.
    std::int64_t wall_s = 0; ///< Wall clock, seconds since 1970; 0: unknown.

    auto operator<=>(booking_forward const&) const = default;
};

/// Executor to entry: outcome of a booking.
struct booking_result
{
    query_id id;
    booking_answer answer;

    auto operator<=>(booking_result const&) const = default;
};

/// A customer's configuration that the sender has applied.
struct config_update
{
    customer_config config;

    auto operator<=>(config_update const&) const = default;
};

/// State of a service's rollout as stored in the platform.
struct rollout_update
{
    service_id service;
    store_version version; ///< Of the platform's object.
    rollout value;

    auto operator<=>(rollout_update const&) const = default;
};

/// The sender found the new version of a rollout faulty; the receiver stops
/// sending to it too.
struct version_fault
{
    service_id service;
    std::uint32_t id = 0; ///< `rollout_policy::id`.
    rollout_fault fault = rollout_fault::none;

    auto operator<=>(version_fault const&) const = default;
};

/// Outcomes that an owner has observed during a rollout, for the instance that
/// drives it.
struct version_outcomes
{
    service_id service;
    std::uint32_t id = 0;  ///< `rollout_policy::id`.
    version_record before; ///< Of the old version.
    version_record after;  ///< Of the new version.

    auto operator<=>(version_outcomes const&) const = default;
};

/// Requests the configurations that the sender lacks or has older versions of.
struct config_request
{
    /// A customer and the version that the sender has.
    struct known
    {
        customer_id customer;
        store_version version;
        auto operator<=>(known const&) const = default;
    };
    std::vector<known> have;

    auto operator<=>(config_request const&) const = default;
};

/// Any message between instances.
using message = std::variant<sub_query, sub_answer, sub_cancel, heartbeat,
    shard_views, target_warmth, deadly_notice, booking_forward, booking_result,
    config_update, config_request, peer_suspicion, rollout_update,
    version_fault, views_request, version_outcomes>;

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
