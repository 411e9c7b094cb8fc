/// Configurations in force: versions only move forward.
#ifndef KNAPWEEDSTREAM_CORE_CONFIG_STORE_HPP
#define KNAPWEEDSTREAM_CORE_CONFIG_STORE_HPP

#include "core/state.hpp"

namespace knapweedstream
{

/// Hash of all versions in force, to compare with a peer's.
auto config_digest(node_state const& s) -> std::uint64_t;

/// Asks a peer for newer configurations, unless another was just asked.
auto request_configs(node_state& s, instance_id peer, time_point now) -> void;

/// What this node has, as a request for anything newer.
auto make_config_request(node_state const& s) -> config_request;

/// Puts a configuration in force if it is newer, and spreads it.
///
/// @param[in] from Peer it came from; 0 if from the platform.
/// @returns False if what is in force is as new.
auto accept_config(node_state& s, customer_config const& config,
    instance_id from, time_point now, commands& out) -> bool;

/// A peer asks for what is newer than it has.
auto on_config_request(node_state& s, instance_id from, config_request const& m)
    -> void;

} // namespace knapweedstream

#endif
