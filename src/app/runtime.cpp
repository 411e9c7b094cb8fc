#include "app/runtime.hpp"

#include "adapter/log.hpp"
#include "adapter/process_usage.hpp"

#include <knapweedstream/overloaded.hpp>

#include <boost/json.hpp>

#include <csignal>
#include <random>

namespace knapweedstream
{

namespace
{

auto make_init(instance_settings const& s) -> node_init
{
    auto device = std::random_device{};
    auto const high = std::uint64_t{device()} << 32;
    auto const wall = wall_seconds() * 1'000'000;
    auto const offset = wall - steady_now().time_since_epoch().count();
    return {s.self, high | device() | 1, s.limits, s.policy, offset};
}

/// CPU time of this thread, in seconds.
auto thread_cpu_seconds() -> double
{
    auto t = timespec{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           1e-9 * static_cast<double>(t.tv_nsec);
}

/// True if the message is part of serving a request, and not control traffic.
auto is_data(message const& m) -> bool
{
    return std::holds_alternative<sub_query>(m) ||
           std::holds_alternative<sub_answer>(m) ||
           std::holds_alternative<sub_cancel>(m) ||
           std::holds_alternative<booking_forward>(m) ||
           std::holds_alternative<booking_result>(m);
}

/// True if the event counts as serving a request: any event but configurations,
/// instance lists, ticks and batches from peers with control messages only.
auto is_data(event const& e) -> bool
{
    return std::visit(overloaded{[](peer_received const& it)
                          {
                              for (auto const& m : it.messages)
                                  if (is_data(m))
                                      return true;
                              return false;
                          },
                          [](config_read const&) { return false; },
                          [](instances_listed const&) { return false; },
                          [](era_observed const&) { return false; },
                          [](tick const&) { return false; },
                          [](auto const&)
                          {
                              return true;
                          }},
        e);
}

} // namespace

runtime::runtime(instance_settings const& settings)
    : settings_(settings), init_(make_init(settings)), base_(make_event_base()),
      node_(init_, steady_now()),
      leafs_(base_.get(), [this](event e) { push(std::move(e)); }),
      platform_(base_.get(), settings.platform_address, settings.self,
          [this](event e) { push(std::move(e)); }),
      peers_(
          base_.get(), settings.self, [this](event e) { push(std::move(e)); }),
      callers_(
          base_.get(), settings.limits, [this](event e) { push(std::move(e)); },
          pages()),
      tick_timer_(base_.get(), [this] { push(tick{}); }),
      end_turn_event_(base_.get(), [this] { end_turn(); })
{
}

auto runtime::run(held_signals const& held) -> leaf::result<void>
{
    if (!settings_.record_path.empty())
        BOOST_LEAF_CHECK(recorder_.start(settings_.record_path,
            settings_.record_max_bytes, init_, steady_now()));
    BOOST_LEAF_CHECK(peers_.start());
    BOOST_LEAF_CHECK(callers_.start(settings_.caller_address));
    std::signal(SIGPIPE, SIG_IGN);
    auto const stop = [this]
    {
        push(stop_requested{});
    };
    auto const term = loop_event{base_.get(), SIGTERM, EV_SIGNAL, stop};
    auto const interrupt = loop_event{base_.get(), SIGINT, EV_SIGNAL, stop};
    log(log_level::info, "node",
        "Started. name=" + settings_.self.name + " zone=" +
            settings_.self.zone + " callers=" + settings_.caller_address +
            " peers=" + settings_.self.peer_address);
    platform_.start();
    push(tick{});
    held.release();
    event_base_dispatch(base_.get());
    held.hold();
    recorder_.flush();
    log(log_level::info, "node", "Stopped. name=" + settings_.self.name);
    flush_log();
    return {};
}

auto runtime::push(event e) -> void
{
    event_queue_.push_back(std::move(e));
    if (handling_)
        return;
    handling_ = true;
    while (!event_queue_.empty())
    {
        auto const next = std::move(event_queue_.front());
        event_queue_.pop_front();
        handle(next);
    }
    handling_ = false;
}

auto runtime::handle(event const& e) -> void
{
    auto const now = steady_now();
    auto const before = thread_cpu_seconds();
    recorder_.add(e, now);
    auto const out = node_.handle(e, now);
    for (auto const& it : out)
        execute(it);
    (is_data(e) ? data_cpu_s_ : control_cpu_s_) +=
        thread_cpu_seconds() - before;
    if (!std::holds_alternative<turn_ended>(e))
        schedule_end_turn();
}

auto runtime::schedule_end_turn() -> void
{
    if (end_turn_scheduled_)
        return;
    end_turn_scheduled_ = true;
    end_turn_event_.activate();
}

auto runtime::end_turn() -> void
{
    end_turn_scheduled_ = false;
    flush_log();
    leafs_.free_closed();
    push(turn_ended{});
}

auto runtime::execute(command const& c) -> void
{
    std::visit(
        overloaded{[this](answer_query const& it)
            {
                observe_answer(it);
                callers_.run(it);
            },
            [this](refuse_query const& it) { callers_.run(it); },
            [this](answer_booking const& it) { callers_.run(it); },
            [this](leaf_open const& it) { leafs_.run(it); },
            [this](leaf_close const& it) { leafs_.run(it); },
            [this](leaf_search const& it) { leafs_.run(it); },
            [this](leaf_book const& it) { leafs_.run(it); },
            [this](leaf_cancel const& it) { leafs_.run(it); },
            [this](peer_send const& it) { peers_.run(it); },
            [this](peer_dial const& it) { peers_.run(it); },
            [this](peer_drop const& it) { peers_.run(it); },
            [this](claims_read const& it) { platform_.run(it); },
            [this](claims_write const& it) { platform_.run(it); },
            [this](watch_config const& it) { platform_.run(it); },
            [this](rollout_read const& it) { platform_.run(it); },
            [this](rollout_write const& it) { platform_.run(it); },
            [this](enter_era const& it) { platform_.run(it); },
            [this](count_request const& it)
            {
                add_request(burn_, it.customer, it.objectives, it.counts,
                    wall_seconds() / 60);
            },
            [this](announce_leaving const& it)
            {
                log(log_level::info, "node", "Leaving.");
                platform_.run(it);
            },
            [this](exit_now const&) { event_base_loopbreak(base_.get()); },
            [this](wake_at const& it)
            { tick_timer_.after(it.when - steady_now()); },
            [](report_fact const& it)
            {
                log_fact(it.what);
            }},
        c);
}

auto runtime::observe_answer(answer_query const& c) -> void
{
    auto const& covered = c.answer.covered;
    latency_.add(static_cast<double>(c.answer.elapsed.count()));
    coverage_.add(covered.total == 0
                      ? 0.0
                      : static_cast<double>(covered.answered) / covered.total);
}

auto runtime::figures() const -> node_adapter_stats
{
    return {peers_.sent(), peers_.received_bytes(), peers_.dropped(),
        platform_.calls(), control_cpu_s_, data_cpu_s_, cpu_seconds(),
        resident_bytes()};
}

auto runtime::pages() -> operator_pages
{
    return {[this]() -> http_response
        {
            auto const g = node_.gauges();
            auto const text = g.leaving ? "leaving"
                              : g.ready ? "ready"
                                        : "starting";
            return {g.ready ? 200u : 503u,
                std::string{"{\"state\":\""} + text + "\"}"};
        },
        [this]() -> http_response
        {
            return {200, metrics_text(node_.stats(), node_.gauges(), figures(),
                             latency_, coverage_)};
        },
        [this]() -> http_response {
            return {200, status_page()};
        },
        [this]() -> http_response
        {
            return {200, to_json(burn_)};
        }};
}

auto runtime::status_page() const -> std::string
{
    namespace json = boost::json;
    auto configs = json::array{};
    for (auto const& c : node_.configs())
        configs.push_back(json::object{{"customer", c.name},
            {"version", c.version.revision}, {"era", c.version.era}});
    auto peers = json::array{};
    for (auto const& [info, available] : node_.peers())
        peers.push_back(json::object{{"name", info.name}, {"zone", info.zone},
            {"takes_work", available}});
    auto rollouts = json::array{};
    for (auto const& it : node_.rollouts())
        rollouts.push_back(json::object{{"service", it.service}, {"id", it.id},
            {"percent", it.percent}, {"state", phase_name(it.phase)},
            {"reason", fault_name(it.fault)}, {"changed_ms", it.changed_ms}});
    auto const g = node_.gauges();
    return json::serialize(json::object{{"name", settings_.self.name},
        {"zone", settings_.self.zone}, {"ready", g.ready},
        {"leaving", g.leaving}, {"configs", std::move(configs)},
        {"rollouts", std::move(rollouts)}, {"peers", std::move(peers)}});
}

} // namespace knapweedstream
