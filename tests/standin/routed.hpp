/// A whole deployment of routed requests on loopback: store and targets; and
/// callers that load instances.
#ifndef KNAPWEEDSTREAM_STANDIN_ROUTED_HPP
#define KNAPWEEDSTREAM_STANDIN_ROUTED_HPP

#include "routed_target.hpp"
#include "store.hpp"

namespace standin
{

/// Sizes of a deployment.
struct routed_settings
{
    std::uint16_t store_port = 0;
    std::uint16_t first_target_port = 0;
    std::uint32_t shards = 10;
    std::uint32_t replicas = 3;
    routed_target_settings target_defaults;  ///< Of each target.
    std::uint16_t first_registered_port = 0; ///< Ports that are registered; 0:
                                             ///< the targets' own.
};

/// Store with a configuration of three routes, and its targets, one in each
/// zone `a`, `b`, `c`: `/all/` asks all shards, `/one/` and `/once/` one
/// service, the latter at most once.
class routed_deployment
{
public:
    routed_deployment(event_base* base, routed_settings const& s);

    auto store() -> store_server& { return store_; }
    auto target(std::size_t i) -> routed_target& { return *targets_.at(i); }
    auto targets() const -> std::size_t { return targets_.size(); }

    /// Writes the configuration with a version; `/one/` and `/once/` go to the
    /// service of this shard.
    auto configure(std::uint64_t version, std::size_t single_shard = 0) -> void;

    /// Registers or changes a target.
    auto register_target(std::size_t i, std::string const& state) -> void;

    /// Removes a target's registration.
    auto deregister_target(std::size_t i) -> void;

    /// A target's process ends; its registration stays.
    auto kill(std::size_t i) -> void;

    /// It starts again, under a new name, and registers.
    auto restart(std::size_t i) -> void;

    auto is_up(std::size_t i) const -> bool
    {
        return targets_.at(i) != nullptr;
    }
    auto name_of(std::size_t i) const -> std::string;
    auto service_of(std::size_t i) const -> std::string;

private:
    routed_settings settings_;
    store_server store_;
    event_base* base_;
    std::vector<std::unique_ptr<routed_target>> targets_;
    std::vector<std::uint32_t> start_counts_; ///< Of each target.
};

/// A load of callers.
struct routed_load
{
    std::vector<std::string> to; ///< Addresses of instances.
    std::string path = "/all/x";
    double rate_per_s = 100;
    double seconds = 5;
    std::uint32_t connections = 16; ///< Kept open, in turn.
};

/// Runs a load and prints counts and latencies.
auto run_routed_load(routed_load const& l) -> int;

} // namespace standin

#endif
