/// Records that are published through the platform: registrations of targets,
/// evacuations of zones, and the instances of the query tier.
#ifndef KNAPWEEDSTREAM_REGISTRATION_HPP
#define KNAPWEEDSTREAM_REGISTRATION_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedstream
{

/// A target's registration, written by the target itself.
struct target_registration
{
    std::string name; ///< Usually new at each start of the target.
    std::string service;
    std::string address; ///< IP address and port.
    std::string zone;
    std::string version;         ///< Software version.
    std::uint32_t slots = 1;     ///< Requests that it runs concurrently.
    bool draining = false;       ///< Accepts no new requests.
    milliseconds warmup_left{0}; ///< Time from receipt until it is warm.
    std::int64_t started_ms = 0; ///< Wall clock at its start, ms since 1970.
    /// Number of this report among those of the same start.
    std::int64_t sequence = 0;

    auto operator<=>(target_registration const&) const = default;
};

/// An operator's request that no traffic is sent to the targets of a zone.
struct zone_evacuation
{
    std::string zone;

    auto operator<=>(zone_evacuation const&) const = default;
};

/// All of a fleet's retry budget, in the unit of `instance_record`'s claim.
constexpr auto whole_budget = std::uint32_t{1'000'000};

/// An instance of the query tier, written by the instance itself.
struct instance_record
{
    std::string name;
    std::string zone;
    std::string region;
    /// Where other instances ask it for changes of the store's objects; empty
    /// if it does not pass them on.
    std::string relay_address = {};
    /// What it claims of the fixed part of the retry budget, out of
    /// `whole_budget`.
    std::uint32_t budget_claim = 0;

    auto operator<=>(instance_record const&) const = default;
};

} // namespace knapweedstream

#endif
