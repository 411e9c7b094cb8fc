/// One instance: the loop, the node and its adapters, wired together.
#ifndef KNAPWEEDSTREAM_APP_RUNTIME_HPP
#define KNAPWEEDSTREAM_APP_RUNTIME_HPP

#include "adapter/burn_page.hpp"
#include "adapter/caller_server.hpp"
#include "adapter/metrics.hpp"
#include "adapter/platform_client.hpp"
#include "adapter/recorder.hpp"
#include "adapter/settings.hpp"

#include <deque>

namespace knapweedstream
{

/// Runs an instance until it has left.
class runtime
{
public:
    explicit runtime(instance_settings const& settings);

    /// @returns When the instance has stopped gracefully; or why it could not
    ///     start.
    auto run() -> leaf::result<void>;

private:
    auto push(event e) -> void;
    auto handle(event const& e) -> void;
    auto carry_out(command const& c) -> void;
    auto observe(answer_query const& c) -> void;
    auto end_turn() -> void;
    auto request_turn() -> void;
    auto figures() const -> node_adapter_stats;
    auto pages() -> operator_pages;
    auto status_page() const -> std::string;

    instance_settings settings_;
    node_init init_;
    event_base_ptr base_;
    node node_;
    leaf_client leafs_;
    platform_client platform_;
    peer_link peers_;
    caller_server callers_;
    recorder record_;
    loop_event tick_;
    loop_event turn_;
    std::deque<event> waiting_;
    bool handling_ = false;
    bool turn_asked_ = false;
    distribution latency_;
    distribution coverage_;
    burn_table burn_;
    double control_cpu_s_ = 0;
    double data_cpu_s_ = 0;
};

} // namespace knapweedstream

#endif
