/// Decoded objects of the platform's store that concern the query tier.
#ifndef KNAPWEEDSTREAM_PORT_STORE_HPP
#define KNAPWEEDSTREAM_PORT_STORE_HPP

#include <knapweedstream/registration.hpp>
#include <knapweedstream/report.hpp>
#include <knapweedstream/route.hpp>
#include <knapweedstream/store_version.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// Kinds of objects that an instance lists and watches.
enum class store_kind : std::uint8_t
{
    configuration, ///< The routing configuration; a single object.
    targets,       ///< Registrations of targets.
    evacuations,   ///< Zones that get no traffic.
    rollouts,      ///< Orders to move a service to another version.
    instances,     ///< Instances of the query tier.
    reports,       ///< What instances have observed.
};

/// All kinds, in the order of the enumeration.
constexpr auto store_kinds = std::array{store_kind::configuration,
    store_kind::targets, store_kind::evacuations, store_kind::rollouts,
    store_kind::instances, store_kind::reports};

/// State of a rollout order; `completed` and `rolled_back` are final.
enum class order_state : std::uint8_t
{
    waiting, ///< No instance has started it.
    running,
    completed,
    rolled_back,
};

/// Number that the store raises each time it comes back from an older copy of
/// its data; its revisions go back then. Empty if an answer does not state it.
using store_era = std::optional<std::uint64_t>;

/// An operator's order to move a service's traffic to another version.
struct rollout_order
{
    std::string service;
    std::string to_version;
    milliseconds duration{0}; ///< Time in which it must complete.
    order_state state = order_state::waiting;

    auto operator<=>(rollout_order const&) const = default;
};

/// An object that could not be decoded.
struct unreadable_object
{
    std::string reason; ///< What is wrong with it.
    auto operator<=>(unreadable_object const&) const = default;
};

/// Decoded content of an object.
using stored_value =
    std::variant<unreadable_object, routing_config, target_registration,
        zone_evacuation, rollout_order, instance_record, instance_report>;

/// An object of the store with its name and revision.
struct stored_object
{
    std::string name;
    std::uint64_t revision = 0; ///< Revision of its last change.
    stored_value value;

    auto operator<=>(stored_object const&) const = default;
};

/// A change to an object, as returned by a watch.
struct stored_change
{
    stored_object object;
    bool deleted = false;

    auto operator<=>(stored_change const&) const = default;
};

/// Why a call to the store failed.
enum class store_failure : std::uint8_t
{
    unreachable, ///< The connection failed or broke.
    timeout,     ///< No answer in time.
    busy,        ///< Rejected, for example by a rate limit or in an outage.
    unreadable,  ///< The answer could not be decoded.
    conflict,    ///< The object has another revision or exists already.
    missing,     ///< The object or the watched history does not exist.
    outdated,    ///< The answer is of an earlier era.
};

} // namespace knapweedstream

#endif
