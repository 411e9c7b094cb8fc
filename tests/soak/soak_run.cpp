#include "soak_run.hpp"

#include <fstream>

namespace soak
{

namespace
{

constexpr auto links_per_instance = std::size_t{3};
constexpr auto no_request = ~std::size_t{0};
constexpr auto min_served_share = 0.95; ///< Once all faults have ended.
constexpr auto zones = std::array{"a", "b", "c"};
/// So many instances are placed in one zone, where some are relays.
constexpr auto relay_fleet = std::size_t{7};

} // namespace

soak_run::soak_run(soak_settings const& s)
    : settings_(s), base_(ks::make_event_base()), random_(s.seed)
{
    auto d = standin::routed_settings{};
    auto const targets = s.shards * replicas;
    d.store_port = static_cast<std::uint16_t>(s.first_port + 1);
    d.first_target_port = static_cast<std::uint16_t>(s.first_port + 10);
    d.first_registered_port =
        static_cast<std::uint16_t>(d.first_target_port + targets);
    d.shards = s.shards;
    d.replicas = replicas;
    d.target_defaults.connections = 60;
    d.target_defaults.service = ks::milliseconds{4};
    d.target_defaults.seed = s.seed;
    d.target_defaults.runs = &history_.runs;
    history_.shards = s.shards;
    deployment_ = std::make_unique<standin::routed_deployment>(base_.get(), d);
    store_proxy_ =
        std::make_unique<proxy>(base_.get(), s.first_port, d.store_port);
    for (std::size_t i = 0; i < targets; ++i)
        proxies_.push_back(std::make_unique<proxy>(base_.get(),
            static_cast<std::uint16_t>(d.first_registered_port + i),
            static_cast<std::uint16_t>(d.first_target_port + i)));
    instances_.resize(s.instances);
    for (std::size_t i = 0; i < s.instances; ++i)
        start_instance(i);
}

soak_run::~soak_run() = default;

auto soak_run::port(std::size_t i) const -> std::uint16_t
{
    return static_cast<std::uint16_t>(settings_.first_port + 200 + 2 * i);
}

auto soak_run::start_instance(std::size_t i) -> void
{
    auto const path = settings_.dir + "/i" + std::to_string(i);
    auto const one_zone = settings_.instances >= relay_fleet;
    auto const zone = zones.at(one_zone ? 0 : i % zones.size());
    std::ofstream{path + ".ini"}
        << "[instance]\nfront_end = routes\nname = i" << i
        << "\nzone = " << zone << "\nregion = r" << zone
        << "\ncaller_address = 127.0.0.1:" << port(i)
        << "\nready_address = 127.0.0.1:" << port(i) + 1
        << "\nplatform_address = 127.0.0.1:" << settings_.first_port
        << "\nrelay_address = 127.0.0.1:" << settings_.first_port + 300 + i
        << "\n[zones]\na = ra\nb = rb\nc = rc\n";
    auto& it = instances_[i];
    it.running = std::make_unique<processes::process>(
        std::vector<std::string>{settings_.binary, "run", path + ".ini"},
        path + ".log");
    it.stopping = false;
    it.paused = false;
    for (auto& link : it.links)
        if (link)
        {
            link->close();
            closed_links_.push_back(std::move(link));
        }
    it.links.clear();
    it.links.resize(links_per_instance);
    it.in_flight.assign(links_per_instance, no_request);
    add_instance_fault(i, ks::seconds{2}); // Until it has started.
    for (std::size_t k = 0; k < links_per_instance; ++k)
        after(ks::milliseconds{400}, [this, i, k] { connect(i, k); });
}

auto soak_run::connect(std::size_t i, std::size_t k) -> void
{
    auto& it = instances_[i];
    if (it.links[k])
    {
        it.links[k]->close();
        closed_links_.push_back(std::move(it.links[k]));
    }
    it.in_flight[k] = no_request;
    it.links[k] = std::make_unique<ks::http_link>(base_.get(),
        "127.0.0.1:" + std::to_string(port(i)), ks::stream_options{},
        ks::read_limits{},
        ks::http_link::callbacks{{},
            [this, i, k](ks::http_message&& m, bool)
            { on_answer(i, k, std::move(m)); },
            [this, i, k](ks::link_end)
            {
                on_disconnect(i, k);
            }});
}

auto soak_run::submit() -> void
{
    if (!sending_)
        return;
    after(ks::duration{static_cast<ks::duration::rep>(
              1e6 / settings_.rate_per_s)},
        [this] { submit(); });
    auto const i = random_below(instances_.size());
    auto const k = random_below(links_per_instance);
    auto const& it = instances_[i];
    if (it.links[k] && it.links[k]->is_open() && it.in_flight[k] == no_request)
        submit(i, k);
}

auto soak_run::submit(std::size_t i, std::size_t k) -> void
{
    constexpr auto paths = std::array{"/all/x", "/one/x", "/once/x"};
    auto a = request_record{};
    a.id = "s" + std::to_string(settings_.seed) + "-" +
           std::to_string(history_.requests.size());
    a.kind = static_cast<route_kind>(random_below(3));
    a.instance = i;
    a.sent = ks::steady_now();
    auto m = ks::http_message{};
    m.method = a.kind == route_kind::once ? "POST" : "GET";
    m.target = paths.at(static_cast<std::size_t>(a.kind));
    m.fields = {{"Host", "h.example"}, {"X-Request-Id", a.id},
        {"X-Request-Deadline", "1000"}};
    m.body = a.kind == route_kind::once ? a.id : "";
    instances_[i].in_flight[k] = history_.requests.size();
    history_.requests.push_back(std::move(a));
    instances_[i].links[k]->send(ks::request_text(m));
}

auto soak_run::on_answer(std::size_t i, std::size_t k, ks::http_message&& m)
    -> void
{
    auto& a = history_.requests.at(instances_[i].in_flight[k]);
    instances_[i].in_flight[k] = no_request;
    a.ended = ks::steady_now();
    a.answer = std::move(m);
}

auto soak_run::on_disconnect(std::size_t i, std::size_t k) -> void
{
    auto const n = std::exchange(instances_[i].in_flight[k], no_request);
    if (n != no_request)
    {
        history_.requests[n].ended = ks::steady_now();
        history_.requests[n].disconnected = true;
    }
    after(ks::milliseconds{50}, [this, i, k] { connect(i, k); });
}

auto soak_run::check_recovery(std::size_t first, std::size_t last) -> void
{
    auto served = std::size_t{0};
    auto total = std::size_t{0};
    for (auto i = first; i < last; ++i)
        if (history_.requests[i].ended != ks::time_point{})
        {
            ++total;
            served += history_.requests[i].answer.status == 200 ? 1 : 0;
        }
    if (static_cast<double>(served) <
        min_served_share * static_cast<double>(total))
        violations_.push_back(
            {"requests are served again after all faults have ended",
                std::to_string(served) + " of " + std::to_string(total)});
}

/// Restores the store while no other fault acts but a paused instance at times.
/// A target drains and the configuration changes: some time later, or at once
/// and followed by more revisions than were lost.
auto soak_run::check_restored_store() -> void
{
    // Targets that were not used for a while have faults left.
    for (std::size_t i = 0; i < proxies_.size(); ++i)
        deployment_->target(i).drop_faults();
    auto const start = ks::steady_now();
    for (std::size_t n = 0; n < 4 * proxies_.size(); ++n)
        deployment_->register_target(n % proxies_.size(), "ready");
    change_config();
    run_for(0.5);
    auto const at_once = random_below(2) == 0;
    restore_store(40 + random_below(200), at_once ? 100 : 0);
    if (random_below(2) == 0)
        pause(random_below(instances_.size()), random_duration(0.1, 3));
    run_for(at_once ? 0.01 : 3);
    drain(random_below(proxies_.size()));
    change_config();
    run_for(7);
    history_.only_restores.push_back({start, ks::steady_now()});
    for (std::size_t i = 0; i < instances_.size(); ++i)
        if (deployment_->store().table().find(
                "knapweedstream-instances", "i" + std::to_string(i)) == nullptr)
            violations_.push_back({"a lost record of an instance is written "
                                   "again",
                "i" + std::to_string(i)});
}

auto soak_run::run() -> std::vector<violation>
{
    for (std::size_t i = 0; i < proxies_.size(); ++i)
        history_.services[deployment_->name_of(i)] = deployment_->service_of(i);
    history_.configs.push_back({ks::steady_now(), deployment_->service_of(0)});
    run_for(2);
    submit();
    inject_next_fault();
    inject_restored_store();
    run_for(settings_.seconds);
    end_faults();
    run_for(11); // Until stopped instances and drained targets have restarted.
    auto const first = history_.requests.size();
    run_for(3);
    auto const last = history_.requests.size();
    check_restored_store();
    sending_ = false;
    run_for(2); // For the last answers.
    check_recovery(first, last);
    for (std::size_t i = 0; i < instances_.size(); ++i)
        if (!instances_[i].stopping &&
            instances_[i].running->exit_code(ks::seconds{0}) !=
                processes::still_runs)
            violations_.push_back({"no instance exits unless it is stopped",
                "i" + std::to_string(i)});
    auto all = check_invariants(history_);
    violations_.insert(violations_.end(), all.begin(), all.end());
    return violations_;
}

auto soak_run::random_below(std::size_t n) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>{0, n - 1}(random_);
}

auto soak_run::random_duration(double from, double to) -> ks::duration
{
    auto const s = std::uniform_real_distribution<>{from, to}(random_);
    return ks::duration{static_cast<ks::duration::rep>(s * 1e6)};
}

auto soak_run::after(ks::duration d, std::function<void()> f) -> void
{
    timers_.push_back(
        std::make_unique<ks::loop_event>(base_.get(), std::move(f)));
    timers_.back()->after(d);
}

auto soak_run::run_for(double seconds) -> void
{
    auto end = ks::loop_event{base_.get(), [this]
        {
            event_base_loopbreak(base_.get());
        }};
    end.after(ks::duration{static_cast<ks::duration::rep>(seconds * 1e6)});
    event_base_dispatch(base_.get());
    closed_links_.clear();
}

} // namespace soak
