/// Customer configurations in force and their exchange with peers. The version
/// of a configuration never decreases. If the platform comes back from an older
/// copy, the configuration in force stays until the operator has written one
/// again.
#ifndef KNAPWEEDSTREAM_CORE_CONFIG_STORE_HPP
#define KNAPWEEDSTREAM_CORE_CONFIG_STORE_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Hash of all configuration versions in force, compared with that of a peer to
/// detect a difference.
auto config_digest(node_state const& s) -> std::uint64_t;

/// Requests newer configurations from a peer, unless an earlier request may
/// still be answered.
auto request_configs(node_state& s, instance_id peer, time_point now) -> void;

/// Makes a request for configurations newer than those of this node.
auto make_config_request(node_state const& s) -> config_request;

/// Puts a configuration in force if it is newer than the present one, and
/// announces the change to some peers.
///
/// @param[in] from Peer that sent it; 0 if read from the platform.
/// @returns False if the configuration is not newer, or if it is not yet known
///     whether it is.
auto accept_config(node_state& s, customer_config const& config,
    instance_id from, time_point now, commands& out) -> bool;

/// Puts a configuration in force of which it was not known whether it is newer,
/// unless a newer one has come.
auto on_config_settle_due(node_state& s, config_settle_due const& e,
    time_point now, commands& out) -> void;

/// Sends a peer the configurations that are newer than those it lists.
auto on_config_request(node_state& s, instance_id from, config_request const& m)
    -> void;

} // namespace knapweedstream

#endif
