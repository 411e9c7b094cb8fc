/// What targets and operators tell through the platform: registrations of
/// targets, evacuations of zones, records of instances.
#ifndef KNAPWEEDSTREAM_REGISTRATION_HPP
#define KNAPWEEDSTREAM_REGISTRATION_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedstream
{

/// A target as it registered itself.
struct target_registration
{
    std::string name; ///< New at most starts of the target.
    std::string service;
    std::string address; ///< IP number and port.
    std::string zone;
    std::string version;         ///< Of its software.
    std::uint32_t slots = 1;     ///< Requests it runs at once.
    bool draining = false;       ///< It takes no new requests.
    milliseconds warmup_left{0}; ///< How much longer it is cold.
    std::int64_t started_ms = 0; ///< Wall clock of its start, ms since 1970.

    auto operator<=>(target_registration const&) const = default;
};

/// An operator wants nothing sent to the targets of a zone.
struct zone_evacuation
{
    std::string zone;

    auto operator<=>(zone_evacuation const&) const = default;
};

/// An instance of the query tier, as it recorded itself.
struct instance_record
{
    std::string name;
    std::string zone;
    std::string region;

    auto operator<=>(instance_record const&) const = default;
};

} // namespace knapweedstream

#endif
