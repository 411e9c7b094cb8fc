/// Several dispatchers in virtual time that carry out one rollout order, with a
/// store that delivers their writes to all of them.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_ROLLOUT_FLEET_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_ROLLOUT_FLEET_HPP

#include "core/random.hpp"
#include "dispatch/harness.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// Behaviour of the targets of the new version.
struct version_model
{
    double failing = 0;          ///< Share of replies that are failures.
    double slow = 0;             ///< Share of replies that are slow.
    std::string only_path;       ///< Faults only on this path; empty: on all.
    duration sound_for{0};       ///< No faults for so long after the order.
    duration usual_time{20'000}; ///< Time to reply of a sound target.
    duration slow_time{100'000}; ///< Time to reply of a slow reply.
};

/// Requests that reach the service's targets.
struct rollout_load
{
    double rate_per_s = 20; ///< Of all instances together.
    /// Paths, used in turn.
    std::vector<std::string> paths{"/p/x"};
};

class rollout_fleet
{
public:
    explicit rollout_fleet(std::size_t instances, version_model const& model,
        std::vector<route> const& routes = {});

    /// Writes the order to move to version `v2`; all instances learn of it.
    auto order() -> void;

    /// Removes the order from the store.
    auto remove_order() -> void;

    /// Writes an order to move to another version.
    auto order_other(std::string const& version) -> void;

    auto run(rollout_load const& load, duration length) -> void;

    auto state() const -> order_state { return order_.state; }

    /// Requests to the new version beyond the share and the number that the
    /// bounds allow until the order's deadline; at most 0 if they are kept.
    auto excess() const -> double;

    std::size_t old_sent = 0;
    std::size_t new_sent = 0;
    std::size_t bad = 0; ///< Failures and slow replies of the new version.
    /// Requests to the new version that callers sent later than the bound
    /// after its 50th bad reply.
    std::size_t sent_too_late = 0;
    std::vector<std::unique_ptr<harness>> instances;
    /// Instances whose writes do not reach the store.
    std::vector<std::size_t> cut_off;

private:
    struct pending_reply
    {
        std::size_t instance = 0;
        sent_request request;
        time_point due;
        bool failed = false;
        bool bad = false;
    };
    struct submitted
    {
        std::string path;
        time_point at;
    };

    auto publish(stored_change const& c, store_kind kind) -> void;
    auto publish_order() -> void;
    auto write_state(store_write_order_state const& c) -> void;
    auto submit(std::string const& path) -> void;
    auto take_requests(std::size_t i) -> void;
    auto deliver_replies() -> void;
    auto carry_writes(std::size_t i) -> void;
    auto draw() -> double;

    version_model model_;
    rollout_order order_;
    std::uint64_t revision_ = 1'000;
    std::uint64_t order_revision_ = 0;
    time_point now_;
    time_point ordered_at_ = time_point::max();
    time_point fiftieth_bad_ = time_point::max();
    std::size_t exposed_ = 0;        ///< Sent to v2 before the deadline.
    std::size_t until_deadline_ = 0; ///< Sent to any version before it.
    std::size_t submitted_ = 0;
    std::map<std::string, submitted> requests_; ///< By ID.
    std::vector<pending_reply> pending_;
    std::vector<std::size_t> commands_read_; ///< Of each instance.
    random_state random_{7, 0};
};

} // namespace knapweedstream::dispatch

#endif
