/// One instance that dispatches by routes: the loop, the dispatcher and its
/// adapters, wired together.
#ifndef KNAPWEEDSTREAM_APP_DISPATCH_RUNTIME_HPP
#define KNAPWEEDSTREAM_APP_DISPATCH_RUNTIME_HPP

#include "adapter/dispatch_metrics.hpp"
#include "adapter/dispatch_settings.hpp"
#include "adapter/page_server.hpp"
#include "adapter/route_server.hpp"
#include "adapter/store_client.hpp"

#include <deque>

namespace knapweedstream
{

/// Runs such an instance until it has left.
class dispatch_runtime
{
public:
    /// @param[in] path Settings file, read again on SIGHUP.
    dispatch_runtime(dispatch_settings const& settings, std::string path);

    /// @returns When the instance has stopped gracefully; or why it could not
    ///     start.
    auto run() -> leaf::result<void>;

private:
    auto push(dispatch::event e) -> void;
    auto execute(dispatch::commands const& list) -> void;
    auto execute(dispatch::command const& c) -> void;
    auto reload() -> void;
    auto end_turn() -> void;
    auto metrics_page() const -> page;
    auto start_page_servers() -> leaf::result<void>;

    dispatch_settings settings_;
    std::string settings_path_;
    event_base_ptr base_;
    dispatch::dispatcher dispatcher_;
    target_links targets_;
    store_client store_;
    route_server callers_;
    page_server readiness_server_;
    page_server metrics_server_;
    loop_event tick_timer_;
    loop_event end_turn_event_;
    loop_event log_timer_;
    std::deque<dispatch::event> event_queue_;
    bool handling_ = false;
    bool end_turn_scheduled_ = false;
    bool ready_ = false;
    request_metrics request_metrics_;
};

} // namespace knapweedstream

#endif
