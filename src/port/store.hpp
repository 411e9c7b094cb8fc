/// Objects that the platform's store holds for the query tier, decoded.
#ifndef KNAPWEEDSTREAM_PORT_STORE_HPP
#define KNAPWEEDSTREAM_PORT_STORE_HPP

#include <knapweedstream/registration.hpp>
#include <knapweedstream/route.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// Kinds of objects that an instance follows.
enum class store_kind : std::uint8_t
{
    configuration, ///< The routing configuration; one object.
    targets,       ///< Registrations of targets.
    evacuations,   ///< Zones to be left alone.
    rollouts,      ///< Orders to move a service to another version.
    instances,     ///< Records of the query tier's own instances.
};

constexpr auto store_kinds =
    std::array{store_kind::configuration, store_kind::targets,
        store_kind::evacuations, store_kind::rollouts, store_kind::instances};

/// How far a rollout order has come; the last two are final.
enum class order_state : std::uint8_t
{
    waiting, ///< No instance has taken it up.
    running,
    completed,
    rolled_back,
};

/// An operator's order to move a service's traffic to another version.
struct rollout_order
{
    std::string service;
    std::string to_version;
    milliseconds duration{0}; ///< By then it must be completed.
    order_state state = order_state::waiting;

    auto operator<=>(rollout_order const&) const = default;
};

/// An object of another writer that could not be decoded.
struct unreadable_object
{
    std::string reason;
    auto operator<=>(unreadable_object const&) const = default;
};

using stored_value = std::variant<unreadable_object, routing_config,
    target_registration, zone_evacuation, rollout_order, instance_record>;

/// An object with its revision.
struct stored_object
{
    std::string name;
    std::uint64_t revision = 0; ///< Of its last change.
    stored_value value;

    auto operator<=>(stored_object const&) const = default;
};

/// A change that a watch told.
struct stored_change
{
    stored_object object;
    bool deleted = false;

    auto operator<=>(stored_change const&) const = default;
};

/// Why a call to the store brought no result.
enum class store_failure : std::uint8_t
{
    unreachable, ///< No connection, or it broke.
    timeout,     ///< No answer in time.
    busy,        ///< Refused: too many calls, or out of service.
    unreadable,  ///< The answer could not be decoded.
    conflict,    ///< The object has another revision.
    missing,     ///< There is no such object.
};

} // namespace knapweedstream

#endif
