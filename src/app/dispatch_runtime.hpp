/// Runtime of an instance that dispatches by routes (`front_end = routes`): the
/// event loop, the dispatcher and its adapters.
#ifndef KNAPWEEDSTREAM_APP_DISPATCH_RUNTIME_HPP
#define KNAPWEEDSTREAM_APP_DISPATCH_RUNTIME_HPP

#include "adapter/dispatch_metrics.hpp"
#include "adapter/dispatch_settings.hpp"
#include "adapter/page_server.hpp"
#include "adapter/relay_link.hpp"
#include "adapter/route_server.hpp"
#include "adapter/store_client.hpp"
#include "app/held_signals.hpp"

#include <deque>

namespace knapweedstream
{

/// Runs an instance that dispatches by routes until it has stopped.
class dispatch_runtime
{
public:
    /// @param[in] path Settings file, reloaded on SIGHUP.
    dispatch_runtime(dispatch_settings const& settings, std::string path);

    /// Returns after a graceful stop, or with the error that prevented the
    /// start.
    auto run(held_signals const& held) -> leaf::result<void>;

private:
    /// Queues an event; handles all queued events unless a call further up the
    /// stack does so already.
    auto push(dispatch::event e) -> void;
    auto execute(dispatch::commands const& list) -> void;
    auto execute(dispatch::command const& c) -> void;
    /// Reloads the settings file and applies its limits and bounds; its other
    /// settings take effect only at a restart. Changes nothing if the file is
    /// unreadable, invalid or for the other front end.
    auto reload() -> void;
    /// Ends an iteration of the event loop, after all ready events are handled:
    /// frees closed connections, none of whose callbacks can be running.
    auto end_turn() -> void;
    auto metrics_page() const -> page;
    auto loop() -> loop_ref { return {base_.get(), &turns_}; }
    auto start_page_servers() -> leaf::result<void>;

    dispatch_settings settings_;
    std::string settings_path_;
    event_base_ptr base_;
    turn_clock turns_;
    dispatch::dispatcher dispatcher_;
    target_links targets_;
    store_client store_;
    relay_client relays_;
    relay_server relay_server_;
    route_server callers_;
    page_server readiness_server_;
    page_server metrics_server_;
    loop_event tick_timer_;
    loop_event end_turn_event_;
    loop_event log_timer_;
    std::deque<dispatch::event> event_queue_;
    bool handling_ = false; ///< `push` is handling the queue.
    bool end_turn_scheduled_ = false;
    bool ready_ = false;
    request_metrics request_metrics_;
};

} // namespace knapweedstream

#endif
