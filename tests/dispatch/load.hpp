/// Targets with slots and queues in virtual time, and callers at a steady rate.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_LOAD_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_LOAD_HPP

#include "dispatch/rig.hpp"

#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace knapweedstream::dispatch
{

/// How a target serves.
struct modelled_target
{
    std::uint32_t slots = 3;
    std::uint32_t queue = 24; ///< Refused beyond it.
    duration work{milliseconds{15}};
    std::uint32_t refuses_each = 0; ///< Every so manieth request; 0: none.
};

/// What callers got.
struct load_result
{
    std::size_t asked = 0;
    std::size_t in_time = 0; ///< Successes within the objective.
    std::size_t late = 0;    ///< Successes beyond it.
    std::size_t refused = 0;
    std::size_t failed = 0;      ///< Failures, and no answer at all.
    duration slowest_refusal{0}; ///< From the request to its refusal.
};

/// Plays a load against instances that share targets.
class load_rig
{
public:
    /// Instances that know one configuration, the targets and each other.
    ///
    /// @param[in] accepts Connections that each target accepts.
    load_rig(std::size_t instances, routing_config const& c,
        std::vector<target_registration> const& registered,
        std::map<std::string, modelled_target> const& targets,
        std::size_t accepts = 10'000);

    /// Callers ask at a rate for a time; then all that is open may end.
    auto play(double per_s, duration length, duration objective) -> load_result;

private:
    struct job
    {
        rig* from = nullptr;
        sent request;
        time_point done; ///< Once it runs.
    };
    struct served
    {
        modelled_target like;
        std::vector<job> running;
        std::deque<job> waiting;
        std::uint32_t count = 0;
    };
    using asked_at = std::map<std::pair<rig const*, caller_id>, time_point>;

    auto step() -> void;
    auto take(rig& from, sent const& s) -> void;
    auto finish(served& t) -> void;
    auto result_of(asked_at const& asked, duration objective) const
        -> load_result;

    accepted_connections accepted_;
    std::vector<std::unique_ptr<rig>> rigs_;
    std::map<std::string, served> targets_;
    time_point now_;
};

} // namespace knapweedstream::dispatch

#endif
