/// Soak run of a deployment under faults: real instances as processes,
/// stand-ins of the store and of the targets behind proxies, and callers with
/// persistent connections.
#ifndef KNAPWEEDSTREAM_SOAK_RUN_HPP
#define KNAPWEEDSTREAM_SOAK_RUN_HPP

#include "../process/processes.hpp"
#include "adapter/http_link.hpp"
#include "invariants.hpp"
#include "proxy.hpp"
#include "routed.hpp"

#include <memory>
#include <random>

namespace soak
{

constexpr auto replicas = std::uint32_t{3}; ///< Of each shard.

/// Settings of a run.
struct soak_settings
{
    std::string binary; ///< Path of the instances' program.
    std::string dir;    ///< For the instances' settings and logs.
    std::uint64_t seed = 1;
    double seconds = 15; ///< Time in which faults are injected.
    std::size_t instances = 3;
    std::uint32_t shards = 5;
    double rate_per_s = 60; ///< Requests of all callers.
    std::uint16_t first_port = 26'000;
};

/// Runs a seeded schedule of faults and records what callers and targets saw.
class soak_run
{
public:
    explicit soak_run(soak_settings const& s);
    ~soak_run();
    soak_run(soak_run const&) = delete;
    auto operator=(soak_run const&) -> soak_run& = delete;

    /// Runs the deployment and checks its invariants. At the end, after all
    /// faults, most requests must be served again.
    ///
    /// @returns The violations.
    auto run() -> std::vector<violation>;

    auto requests() const -> std::size_t { return history_.requests.size(); }
    auto faults() const -> std::size_t { return faults_; }

private:
    struct instance
    {
        std::unique_ptr<processes::process> running;
        std::vector<std::unique_ptr<ks::http_link>> links;
        std::vector<std::size_t> in_flight; ///< Index of the request on each
                                            ///< link, or `no_request`.
        bool stopping = false;
        bool paused = false;
    };

    auto port(std::size_t i) const -> std::uint16_t;
    auto start_instance(std::size_t i) -> void;
    auto connect(std::size_t i, std::size_t link) -> void;
    auto submit() -> void;
    auto submit(std::size_t i, std::size_t link) -> void;
    auto on_answer(std::size_t i, std::size_t link, ks::http_message&& m)
        -> void;
    auto on_disconnect(std::size_t i, std::size_t link) -> void;
    auto inject_next_fault() -> void;
    auto inject_target_fault() -> void;
    auto inject_link_fault() -> void;
    auto inject_store_fault() -> void;
    auto inject_instance_fault() -> void;
    auto inject_restored_store() -> void;
    auto restore_store(std::size_t lost_revisions, std::size_t more) -> void;
    auto drain(std::size_t target) -> void;
    auto restart(std::size_t target) -> void;
    auto change_config() -> void;
    auto stop(std::size_t i) -> void;
    auto kill_instance(std::size_t i) -> void;
    auto pause(std::size_t i, ks::duration length) -> void;
    auto await_exit(std::size_t i, ks::time_point stop_sent) -> void;
    auto end_faults() -> void;
    auto add_instance_fault(std::size_t i, ks::duration length) -> void;
    auto add_store_fault(ks::duration length) -> void;
    auto check_recovery(std::size_t first, std::size_t last) -> void;
    auto check_restored_store() -> void;

    auto random_below(std::size_t n) -> std::size_t;
    auto random_duration(double from, double to) -> ks::duration;
    auto after(ks::duration d, std::function<void()> f) -> void;
    auto run_for(double seconds) -> void;

    soak_settings settings_;
    ks::event_base_ptr base_;
    std::mt19937_64 random_;
    history history_;
    std::vector<violation> violations_;
    std::unique_ptr<standin::routed_deployment> deployment_;
    std::vector<std::unique_ptr<proxy>> proxies_; ///< Of targets.
    std::unique_ptr<proxy> store_proxy_;
    std::vector<instance> instances_;
    std::vector<std::unique_ptr<ks::http_link>> closed_links_;
    std::vector<std::unique_ptr<ks::loop_event>> timers_;
    bool faults_enabled_ = true;
    bool sending_ = true;
    std::size_t faults_ = 0;
    std::uint64_t config_ = 1; ///< Last version written.
};

} // namespace soak

#endif
