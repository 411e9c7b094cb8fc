#include "routed.hpp"

#include "adapter/http_link.hpp"

#include <algorithm>
#include <iostream>

namespace standin
{

namespace
{

constexpr auto zones = std::array{"a", "b", "c"};

auto service_name(std::size_t shard) -> std::string
{
    return "shard" + std::to_string(shard);
}

auto route(char const* name, char const* path, char const* type) -> json::object
{
    return {{"name", name}, {"hostname", "h.example"}, {"path_prefix", path},
        {"route_type", type}, {"timeout_ms", 1'000}, {"target_latency_ms", 200},
        {"priority", 1}, {"max_attempts", 2}};
}

} // namespace

routed_deployment::routed_deployment(event_base* base, routed_settings const& s)
    : settings_(s), store_(base, s.store_port), base_(base),
      start_counts_(s.shards * s.replicas)
{
    for (std::size_t i = 0; i < s.shards * s.replicas; ++i)
    {
        targets_.emplace_back();
        restart(i);
    }
    configure(1);
}

auto routed_deployment::name_of(std::size_t i) const -> std::string
{
    return "t" + std::to_string(i) + "-" + std::to_string(start_counts_.at(i));
}

auto routed_deployment::service_of(std::size_t i) const -> std::string
{
    return service_name(i / settings_.replicas);
}

auto routed_deployment::restart(std::size_t i) -> void
{
    deregister_target(i);
    ++start_counts_[i];
    auto one = settings_.target_defaults;
    one.port = static_cast<std::uint16_t>(settings_.first_target_port + i);
    one.name = name_of(i);
    one.on_deadly = [this, i]
    {
        end_by_request(i);
    };
    one.seed = settings_.target_defaults.seed * 1'000 + i + start_counts_[i];
    targets_[i].reset();
    targets_[i] = std::make_unique<routed_target>(base_, one);
    register_target(i, "ready");
}

auto routed_deployment::end_by_request(std::size_t i) -> void
{
    constexpr auto restart_time = ks::milliseconds{1'000};
    store_.table().put("ended", std::to_string(++ended_), "spec",
        json::object{{"target", name_of(i)}}, {});
    auto const later = [&](ks::duration d, std::function<void()> f)
    {
        ends_.push_back(std::make_unique<ks::loop_event>(base_, std::move(f)));
        ends_.back()->after(d);
    };
    later(ks::duration{0}, [this, i] { kill(i); });
    later(ks::duration{restart_time}, [this, i] { restart(i); });
}

auto routed_deployment::kill(std::size_t i) -> void
{
    targets_.at(i).reset();
}

auto routed_deployment::deregister_target(std::size_t i) -> void
{
    store_.table().remove("servers", name_of(i));
    store_.notify_watches();
}

auto routed_deployment::register_target(std::size_t i, std::string const& state)
    -> void
{
    auto const first = settings_.first_registered_port == 0
                           ? settings_.first_target_port
                           : settings_.first_registered_port;
    store_.table().put("servers", name_of(i), "spec",
        json::object{{"service", service_of(i)},
            {"address", "127.0.0.1:" + std::to_string(first + i)},
            {"zone", zones.at(i % settings_.replicas % zones.size())},
            {"version", "v1"}, {"slots", settings_.target_defaults.slots},
            {"state", state}, {"warmup_left_ms", 0}, {"sequence", ++sequence_}},
        {});
    store_.notify_watches();
}

auto routed_deployment::configure(
    std::uint64_t version, std::size_t single_shard) -> void
{
    auto shards = json::array{};
    auto services = json::array{};
    for (std::size_t i = 0; i < settings_.shards; ++i)
    {
        shards.push_back(json::string(service_name(i)));
        services.push_back(
            json::object{{"name", service_name(i)}, {"health_path", "/health"},
                {"max_connections", settings_.target_defaults.connections}});
    }
    auto all = route("all", "/all/", "safe");
    all["gather"] = shards;
    all["top_k"] = 10;
    all["min_success_share"] = 0.5;
    auto one = route("one", "/one/", "safe");
    one["service"] = service_name(single_shard);
    auto once = route("once", "/once/", "unsafe");
    once["service"] = service_name(single_shard);
    store_.table().put("config", "main", "spec",
        json::object{{"version", version},
            {"routes", json::array{all, one, once}}, {"services", services},
            {"limits",
                json::object{{"max_header_bytes", 16'384},
                    {"max_body_bytes", 65'536}, {"header_timeout_ms", 1'000},
                    {"idle_timeout_ms", 5'000}}}},
        {});
    store_.notify_watches();
}

namespace
{

/// Callers that send at a steady rate over persistent connections in turn; a
/// connection that is busy or closed skips its turn.
class callers
{
public:
    callers(event_base* base, routed_load const& l)
        : base_(base), load_(l), timer_(base, [this] { send(); })
    {
        for (std::uint32_t i = 0; i < l.connections; ++i)
            connect(i);
        timer_.after(ks::milliseconds{200});
    }

    auto report() const -> void
    {
        auto all = latencies_ms_;
        std::sort(all.begin(), all.end());
        auto const at = [&](double q)
        {
            return all.empty() ? 0.0
                               : all[static_cast<std::size_t>(
                                     q * static_cast<double>(all.size() - 1))];
        };
        std::cout << "sent " << sent_ << " good " << succeeded_ << " bad "
                  << latencies_ms_.size() - succeeded_ << " skipped "
                  << skipped_ << " p50_ms " << at(0.5) << " p99_ms " << at(0.99)
                  << "\n";
    }

private:
    struct connection
    {
        std::unique_ptr<ks::http_link> link;
        ks::time_point sent;
    };

    auto connect(std::size_t i) -> void
    {
        if (connections_.size() <= i)
            connections_.resize(i + 1);
        if (connections_[i].link)
            closed_.push_back(std::move(connections_[i].link));
        connections_[i].link = std::make_unique<ks::http_link>(base_,
            load_.to[i % load_.to.size()], ks::stream_options{},
            ks::read_limits{},
            ks::http_link::callbacks{{},
                [this, i](ks::http_message const& m, bool)
                {
                    auto const latency =
                        ks::steady_now() - connections_[i].sent;
                    latencies_ms_.push_back(
                        static_cast<double>(latency.count()) / 1e3);
                    succeeded_ += m.status == 200 ? 1 : 0;
                },
                [this, i](ks::link_end)
                {
                    broken_.push_back(i);
                }});
    }

    auto send() -> void
    {
        timer_.after(ks::duration{
            static_cast<ks::duration::rep>(1e6 / load_.rate_per_s)});
        for (auto const i : std::exchange(broken_, {}))
            connect(i);
        auto& s = connections_[sent_ % connections_.size()];
        ++sent_;
        if (s.link->is_busy() || !s.link->is_open())
        {
            ++skipped_;
            return;
        }
        s.sent = ks::steady_now();
        auto m = ks::http_message{};
        m.method = "GET";
        m.target = load_.path;
        m.fields = {{"Host", "h.example"},
            {"X-Request-Id", "load" + std::to_string(sent_)},
            {"X-Request-Deadline", "1000"}};
        s.link->send(ks::request_text(m));
    }

    event_base* base_;
    routed_load load_;
    ks::loop_event timer_;
    std::vector<connection> connections_;
    std::vector<std::unique_ptr<ks::http_link>> closed_;
    std::vector<std::size_t> broken_;
    std::vector<double> latencies_ms_;
    std::size_t sent_ = 0;
    std::size_t succeeded_ = 0;
    std::size_t skipped_ = 0;
};

} // namespace

auto run_routed_load(routed_load const& l) -> int
{
    auto const base = ks::make_event_base();
    auto all = callers{base.get(), l};
    auto end = ks::loop_event{base.get(), [&]
        {
            event_base_loopbreak(base.get());
        }};
    end.after(ks::duration{static_cast<ks::duration::rep>(l.seconds * 1e6)});
    event_base_dispatch(base.get());
    all.report();
    return 0;
}

} // namespace standin
