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

constexpr auto log_interval = milliseconds{500}; ///< Between flushes.
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
    : settings_(settings), path_(std::move(path)),
      base_(make_event_base(timer_precision::coarse)),
      dispatcher_(make_init(settings)),
      targets_(base_.get(), platform::make_target_dialect(),
          [this](dispatch::event e) { push(std::move(e)); }),
      store_(base_.get(), settings.platform_address,
          platform::make_store_dialect(),
          [this](dispatch::event e) { push(std::move(e)); }),
      callers_(base_.get(), platform::make_caller_dialect(),
          [this](dispatch::event e) { push(std::move(e)); }),
      ready_pages_(base_.get(), {{platform::names::readiness_path,
                                    [this]
                                    {
                                        return page{ready_ ? 200u : 503u, {}};
                                    }}}),
      metrics_pages_(base_.get(), {{metrics_path,
                                      [this]
                                      {
                                          return metrics_page();
                                      }}}),
      tick_(base_.get(), [this] { push(dispatch::tick{}); }),
      turn_(base_.get(), [this] { end_turn(); }),
      log_timer_(base_.get(),
          [this]
          {
              flush_log();
              log_timer_.after(log_interval);
          })
{
}

auto dispatch_runtime::start_pages() -> leaf::result<void>
{
    BOOST_LEAF_CHECK(
        ready_pages_.start(settings_.ready_address, "the balancer"));
    if (!settings_.metrics_address.empty())
        BOOST_LEAF_CHECK(
            metrics_pages_.start(settings_.metrics_address, "metrics"));
    return {};
}

auto dispatch_runtime::run() -> leaf::result<void>
{
    BOOST_LEAF_CHECK(start_pages());
    BOOST_LEAF_CHECK(callers_.start(settings_.caller_address));
    std::signal(SIGPIPE, SIG_IGN);
    auto const stop = [this]
    {
        log(log_level::info, "node", "Stop requested.");
        push(dispatch::stop_requested{});
    };
    auto const term = loop_event{base_.get(), SIGTERM, EV_SIGNAL, stop};
    auto const interrupt = loop_event{base_.get(), SIGINT, EV_SIGNAL, stop};
    auto const hang_up = loop_event{base_.get(), SIGHUP, EV_SIGNAL,
        [this]
        {
            reload();
        }};
    log(log_level::info, "node",
        "Started. name=" + settings_.self.name + " zone=" +
            settings_.self.zone + " callers=" + settings_.caller_address);
    log_timer_.after(log_interval);
    carry_out(dispatcher_.start(present()));
    event_base_dispatch(base_.get());
    log(log_level::info, "node", "Stopped. name=" + settings_.self.name);
    flush_log();
    return {};
}

auto dispatch_runtime::push(dispatch::event e) -> void
{
    waiting_.push_back(std::move(e));
    if (handling_)
        return;
    handling_ = true;
    while (!waiting_.empty())
    {
        auto const next = std::move(waiting_.front());
        waiting_.pop_front();
        carry_out(dispatcher_.handle(next, present()));
    }
    handling_ = false;
    if (!turn_asked_)
    {
        turn_asked_ = true;
        turn_.soon();
    }
}

auto dispatch_runtime::end_turn() -> void
{
    turn_asked_ = false;
    targets_.collect();
    store_.collect();
    callers_.collect();
}

auto dispatch_runtime::carry_out(dispatch::commands const& list) -> void
{
    for (auto const& it : list)
        carry_out(it);
}

auto dispatch_runtime::carry_out(dispatch::command const& c) -> void
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
            [this](dispatch::set_ready const& it)
            {
                ready_ = it.ready;
                if (dispatcher_.gauges().stopping)
                    callers_.close_after_answers();
            },
            [this](dispatch::exit_now const&)
            { event_base_loopbreak(base_.get()); },
            [this](dispatch::wake_at const& it)
            { tick_.after(it.when - present()); },
            [this](dispatch::report_fact const& it)
            {
                requests_.observe(it.what);
                log_fact(it.what);
            }},
        c);
}

auto dispatch_runtime::reload() -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(text, read_file(path_));
            BOOST_LEAF_AUTO(any, parse_any_settings(path_, text));
            if (auto const* next = std::get_if<dispatch_settings>(&any))
            {
                dispatcher_.reconfigure(next->limits, next->bounds);
                log(log_level::info, "node", "Settings read again.");
            }
            return {};
        },
        [](ini_errors const& e)
        {
            log(log_level::error, "node",
                "Settings kept: the file is wrong. " + describe(e));
        },
        [] {
            log(log_level::error, "node",
                "Settings kept: the file cannot be read.");
        });
}

auto dispatch_runtime::metrics_page() const -> page
{
    auto const figures = dispatch_figures{store_.calls(), callers_.figures(),
        log_lines_left_out(), cpu_seconds(), resident_bytes()};
    return {200, metrics_text(dispatcher_.stats(), dispatcher_.gauges(),
                     figures, requests_)};
}

} // namespace knapweedstream
