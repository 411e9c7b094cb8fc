/// A deployment for routed requests on loopback (store and targets), and
/// callers that send load to instances.
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
    routed_target_settings target_defaults;  ///< Used for each target.
    std::uint16_t first_registered_port = 0; ///< First of the ports that are
                                             ///< registered, for example of
                                             ///< proxies; 0: the targets' own.
};

/// A store with a configuration of three routes, and the targets. `/all/` sends
/// to all shards, `/one/` and `/once/` to one service; `/once/` is unsafe to
/// repeat. The replicas of a shard are in zones `a`, `b`, `c` in turn.
class routed_deployment
{
public:
    routed_deployment(event_base* base, routed_settings const& s);

    auto store() -> store_server& { return store_; }
    auto target(std::size_t i) -> routed_target& { return *targets_.at(i); }
    auto targets() const -> std::size_t { return targets_.size(); }

    /// Writes the configuration with this version; `/one/` and `/once/` go to
    /// the service of `single_shard`.
    auto configure(std::uint64_t version, std::size_t single_shard = 0) -> void;

    /// Writes a target's registration with a state such as `ready`; each write
    /// is a change.
    auto register_target(std::size_t i, std::string const& state) -> void;

    /// Removes a target's registration.
    auto deregister_target(std::size_t i) -> void;

    /// Ends a target without notice; its registration stays.
    auto kill(std::size_t i) -> void;

    /// Restarts a target under a new name and replaces its registration.
    auto restart(std::size_t i) -> void;

    /// A target ends as it begins to run a request, and restarts soon. The
    /// store gets an object of the kind `ended`, named by their number.
    auto end_by_request(std::size_t i) -> void;

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
    std::vector<std::uint32_t> start_counts_; ///< By target.
    std::vector<std::unique_ptr<ks::loop_event>> ends_;
    std::size_t ended_ = 0;      ///< Targets that a request has ended.
    std::uint64_t sequence_ = 0; ///< Of the last registration.
};

/// Load that callers send.
struct routed_load
{
    std::vector<std::string> to; ///< Addresses of instances.
    std::string path = "/all/x";
    double rate_per_s = 100;
    double seconds = 5;
    std::uint32_t connections = 16; ///< Used in turn.
};

/// Sends a load, then prints counts and latencies.
///
/// @returns Exit code, always 0.
auto run_routed_load(routed_load const& l) -> int;

} // namespace standin

#endif
