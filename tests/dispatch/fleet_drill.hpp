/// A fleet with callers, and an operator who changes things while the store is
/// lost or restored.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_FLEET_DRILL_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_FLEET_DRILL_HPP

#include "dispatch/fleet_callers.hpp"

#include <string>

namespace knapweedstream::dispatch
{

/// Bound of the drills for a target that drains.
constexpr auto drill_drain = milliseconds{8'000};
/// Until which a change is known everywhere: half of that bound.
constexpr auto drill_known_within = drill_drain / 2;
/// How long an object is kept that the store has lost.
constexpr auto drill_lapse_grace = milliseconds{2'200};

class fleet_drill
{
public:
    explicit fleet_drill(store_fleet_setup const& setup);

    auto run(duration length) -> void { callers.run(length); }

    /// Writes the next version of the configuration.
    auto change_config() -> void;

    /// Writes or deletes the evacuation of a zone.
    auto evacuate(bool on) -> void;

    /// Registers targets of another version and orders to move to it.
    auto order_rollout() -> void;

    /// State of that order in the store.
    auto rollout_state() const -> order_state;

    /// Deletes the registration of a target that drains, if there is one.
    auto remove_drained() -> void;

    /// What broke a rule, or what some instance uses otherwise than the store
    /// says; empty if nothing.
    auto fault() const -> std::string;

    store_fleet fleet;
    fleet_callers callers;

private:
    auto fault_of(std::size_t i) const -> std::string;

    std::uint64_t config_version_ = 1;
    std::size_t removed_ = 0;
};

/// A fleet of the drills.
auto drill_setup(std::size_t instances) -> store_fleet_setup;

} // namespace knapweedstream::dispatch

#endif
