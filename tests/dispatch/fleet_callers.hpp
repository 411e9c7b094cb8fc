/// Callers of a fleet's instances, and targets that answer at once.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_FLEET_CALLERS_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_FLEET_CALLERS_HPP

#include "dispatch/store_fleet.hpp"

#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// Checks, with each step of a fleet, what holds at any moment.
class fleet_callers
{
public:
    /// @param[in] drain Time after which a draining target gets no requests.
    fleet_callers(store_fleet& fleet, duration drain)
        : fleet_(fleet), drain_(drain)
    {
    }

    /// Sends a request to the next instance and answers what reaches targets.
    auto step() -> void;

    /// Runs the fleet with these callers.
    auto run(duration length) -> void
    {
        fleet_.run(length, [this] { step(); });
    }

    std::size_t sent = 0;
    /// Requests that an instance itself has refused.
    std::vector<std::string> refused;
    /// Requests that a target got later than `drain` after it has drained.
    std::vector<std::string> late;
    double most_shares = 0; ///< Greatest sum of the instances' shares.

private:
    auto submit() -> void;
    auto answer_requests(std::size_t i) -> void;
    auto note_refusals(std::size_t i) -> void;
    auto check_shares() -> void;
    auto is_late(std::string const& target, std::size_t i) const -> bool;

    store_fleet& fleet_;
    duration drain_;
    std::size_t next_ = 0;
    time_point shares_checked_;
    std::vector<std::size_t> answers_read_;
};

/// Sum of the instances' shares of a limit that all divide by the number of
/// instances that they know. One is not counted until all others know it.
auto sum_of_shares(store_fleet const& f) -> double;

} // namespace knapweedstream::dispatch

#endif
