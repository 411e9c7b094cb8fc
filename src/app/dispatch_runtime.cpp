#include "app/dispatch_runtime.hpp"

#include "adapter/dispatch_log.hpp"
#include "adapter/ini.hpp"
#include "adapter/log.hpp"
#include "platform/ingress.hpp"
#include "platform/names.hpp"
#include "platform/store.hpp"
#include "platform/targets.hpp"

#include <knapweedstream/overloaded.hpp>

#include <csignal>
#include <random>

namespace knapweedstream
{

namespace
{

constexpr auto log_flush_interval = milliseconds{500}; ///< Between log flushes.
constexpr auto metrics_path = "/metrics";

auto make_init(dispatch_settings const& s) -> dispatch::dispatcher_init
{
    auto device = std::random_device{};
    auto const high = std::uint64_t{device()} << 32;
    return {s.self, s.regions, high | device() | 1, s.limits, s.bounds};
}

} // namespace

dispatch_runtime::dispatch_runtime(
    dispatch_settings const& settings, std::string path)
    : settings_(settings), settings_path_(std::move(path)),
      base_(make_event_base(timer_precision::coarse)), turns_(base_.get()),
      dispatcher_(make_init(settings)),
      targets_(loop(), platform::make_target_dialect(),
          [this](dispatch::event e) { push(std::move(e)); }),
      store_(loop(), settings.platform_address, platform::make_store_dialect(),
          [this](dispatch::event e) { push(std::move(e)); }),
      relays_(loop(), [this](dispatch::event e) { push(std::move(e)); }),
      relay_server_(loop(), [this](dispatch::event e) { push(std::move(e)); }),
      callers_(loop(), platform::make_caller_dialect(),
          [this](dispatch::event e) { push(std::move(e)); }),
      readiness_server_(loop(), {{platform::names::readiness_path,
                                    [this]
                                    {
                                        return page{ready_ ? 200u : 503u, {}};
                                    }}}),
      metrics_server_(loop(), {{metrics_path,
                                  [this]
                                  {
                                      return metrics_page();
                                  }}}),
      tick_timer_(loop(), [this] { push(dispatch::tick{}); }),
      end_turn_event_(loop(), [this] { end_turn(); }),
      log_timer_(loop(),
          [this]
          {
              flush_log();
              log_timer_.after(log_flush_interval);
          })
{
}

auto dispatch_runtime::start_page_servers() -> leaf::result<void>
{
    BOOST_LEAF_CHECK(readiness_server_.start(
        settings_.ready_address, "readiness checks of the load balancer"));
    if (!settings_.metrics_address.empty())
        BOOST_LEAF_CHECK(
            metrics_server_.start(settings_.metrics_address, "metrics"));
    if (!settings_.self.relay_address.empty())
        BOOST_LEAF_CHECK(relay_server_.start(settings_.self.relay_address));
    return {};
}

auto dispatch_runtime::run(held_signals const& held) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(start_page_servers());
    BOOST_LEAF_CHECK(callers_.start(settings_.caller_address));
    std::signal(SIGPIPE, SIG_IGN);
    auto const stop = [this]
    {
        log(log_level::info, "node", "Stop requested.");
        push(dispatch::stop_requested{});
    };
    auto const term = loop_event{loop(), SIGTERM, EV_SIGNAL, stop};
    auto const interrupt = loop_event{loop(), SIGINT, EV_SIGNAL, stop};
    auto const hang_up = loop_event{loop(), SIGHUP, EV_SIGNAL,
        [this]
        {
            reload();
        }};
    log(log_level::info, "node",
        "Started. name=" + settings_.self.name + " zone=" +
            settings_.self.zone + " callers=" + settings_.caller_address);
    log_timer_.after(log_flush_interval);
    execute(dispatcher_.start(steady_now()));
    held.release();
    event_base_dispatch(base_.get());
    held.hold();
    log(log_level::info, "node", "Stopped. name=" + settings_.self.name);
    flush_log();
    return {};
}

auto dispatch_runtime::push(dispatch::event e) -> void
{
    event_queue_.push_back(std::move(e));
    if (handling_)
        return;
    handling_ = true;
    while (!event_queue_.empty())
    {
        auto const next = std::move(event_queue_.front());
        event_queue_.pop_front();
        execute(dispatcher_.handle(next, steady_now()));
    }
    handling_ = false;
    if (!end_turn_scheduled_)
    {
        end_turn_scheduled_ = true;
        end_turn_event_.activate();
    }
}

auto dispatch_runtime::end_turn() -> void
{
    end_turn_scheduled_ = false;
    targets_.free_closed();
    store_.free_closed();
    relays_.free_closed();
    callers_.free_closed();
}

auto dispatch_runtime::execute(dispatch::commands const& list) -> void
{
    for (auto const& it : list)
        execute(it);
}

auto dispatch_runtime::execute(dispatch::command const& c) -> void
{
    std::visit(
        overloaded{[this](dispatch::answer_caller const& it)
            { callers_.run(it); },
            [this](dispatch::set_caller_limits const& it) { callers_.run(it); },
            [this](dispatch::drain_callers const& it) { callers_.run(it); },
            [this](dispatch::open_connection const& it) { targets_.run(it); },
            [this](dispatch::close_connection const& it) { targets_.run(it); },
            [this](dispatch::send_request const& it) { targets_.run(it); },
            [this](dispatch::store_list const& it) { store_.run(it); },
            [this](dispatch::store_watch const& it) { store_.run(it); },
            [this](dispatch::store_check const& it) { store_.run(it); },
            [this](dispatch::store_write_record const& it) { store_.run(it); },
            [this](dispatch::store_write_order_state const& it)
            { store_.run(it); },
            [this](dispatch::store_delete_record const& it) { store_.run(it); },
            [this](dispatch::store_write_report const& it) { store_.run(it); },
            [this](dispatch::store_delete_report const& it) { store_.run(it); },
            [this](dispatch::ask_relay const& it) { relays_.run(it); },
            [this](dispatch::answer_relay const& it) { relay_server_.run(it); },
            [this](dispatch::set_ready const& it)
            {
                ready_ = it.ready;
                if (dispatcher_.gauges().stopping)
                    callers_.close_after_answers();
            },
            [this](dispatch::exit_now const&)
            { event_base_loopbreak(base_.get()); },
            [this](dispatch::wake_at const& it)
            { tick_timer_.after(it.when - steady_now()); },
            [this](dispatch::report_fact const& it)
            {
                request_metrics_.observe(it.what);
                log_fact(it.what);
            }},
        c);
}

auto dispatch_runtime::reload() -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(text, read_file(settings_path_));
            BOOST_LEAF_AUTO(any, parse_any_settings(settings_path_, text));
            if (auto const* next = std::get_if<dispatch_settings>(&any))
            {
                dispatcher_.reconfigure(
                    next->limits, next->bounds, steady_now());
                log(log_level::info, "node", "Settings reloaded.");
            }
            return {};
        },
        [](ini_errors const& e)
        {
            log(log_level::error, "node",
                "Settings unchanged: the file is invalid. " + describe(e));
        },
        []
        {
            log(log_level::error, "node",
                "Settings unchanged: the file cannot be read.");
        });
}

auto dispatch_runtime::metrics_page() const -> page
{
    auto const figures = dispatch_adapter_stats{store_.calls(),
        callers_.stats(), dropped_log_lines(), cpu_seconds(), resident_bytes()};
    return {200, metrics_text(dispatcher_.stats(), dispatcher_.gauges(),
                     figures, request_metrics_)};
}

} // namespace knapweedstream
