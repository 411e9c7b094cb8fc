/// Runtime of an instance that serves queries and bookings: the event loop, the
/// node and its adapters.
#ifndef KNAPWEEDSTREAM_APP_RUNTIME_HPP
#define KNAPWEEDSTREAM_APP_RUNTIME_HPP

#include "adapter/burn_page.hpp"
#include "adapter/caller_server.hpp"
#include "adapter/metrics.hpp"
#include "adapter/platform_client.hpp"
#include "adapter/recorder.hpp"
#include "adapter/settings.hpp"
#include "app/held_signals.hpp"

#include <deque>

namespace knapweedstream
{

/// Runs an instance that serves queries and bookings until it has stopped.
class runtime
{
public:
    explicit runtime(instance_settings const& settings);

    /// Returns after a graceful stop, or with the error that prevented the
    /// start.
    auto run(held_signals const& held) -> leaf::result<void>;

private:
    /// Queues an event; handles all queued events unless a call further up the
    /// stack does so already.
    auto push(event e) -> void;
    /// Records the event, handles it, executes the commands that result and
    /// adds the CPU time to `control_cpu_s_` or `data_cpu_s_`.
    auto handle(event const& e) -> void;
    auto execute(command const& c) -> void;
    auto observe_answer(answer_query const& c) -> void;
    /// Ends an iteration of the event loop, after all ready events are handled:
    /// flushes the log, frees closed connections and passes `turn_ended` to the
    /// node, which then sends batched messages.
    auto end_turn() -> void;
    auto schedule_end_turn() -> void;
    /// Statistics for the metrics page.
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
    recorder recorder_;
    loop_event tick_timer_;
    loop_event end_turn_event_;
    std::deque<event> event_queue_;
    bool handling_ = false; ///< `push` is handling the queue.
    bool end_turn_scheduled_ = false;
    distribution latency_;
    distribution coverage_;
    burn_table burn_;
    /// CPU time of control events: ticks, configurations, instance lists and
    /// peers' messages that serve no request.
    double control_cpu_s_ = 0;
    double data_cpu_s_ = 0; ///< CPU time of all other events.
};

} // namespace knapweedstream

#endif
