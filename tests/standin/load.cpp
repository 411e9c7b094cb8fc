#include "load.hpp"

#include "adapter/http_client.hpp"
#include "app/http_call.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

namespace standin
{

namespace
{

namespace ks = knapweedstream;
namespace json = boost::json;

/// Time for open requests to finish after the last send.
constexpr auto drain_time = ks::seconds{3};

/// Results of the requests sent after the warm-up.
struct load_stats
{
    std::vector<double> latency_ms;
    std::map<std::uint32_t, std::uint64_t> statuses;
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    double coverage = 0;     ///< Sum over the answers.
    std::uint64_t mixed = 0; ///< Answers with rows of two snapshots.
};

/// Idle connections by address.
using idle_pool =
    std::map<std::string, std::vector<std::shared_ptr<ks::http_connection>>>;

/// True if all rows carry the version of the answer's snapshot.
auto has_one_snapshot(json::object const& o) -> bool
{
    auto const version =
        o.at("snapshot").at("index_version").to_number<std::uint64_t>();
    auto const key_part = "-v" + std::to_string(version) + "-";
    for (auto const& r : o.at("rows").as_array())
    {
        auto const key = std::string(r.at("key").as_string());
        if (key.find(key_part) == std::string::npos)
            return false;
    }
    return true;
}

auto count_reply(load_stats& t, ks::http_reply const& r, double ms) -> void
{
    t.latency_ms.push_back(ms);
    ++t.statuses[r.status()];
    if (r.status() != 200)
        return;
    auto const body = r.body();
    auto const v =
        json::parse(json::string_view{body.data(), body.size()}).as_object();
    auto const& c = v.at("coverage");
    t.coverage += c.at("answered").to_number<double>() /
                  c.at("total").to_number<double>();
    t.complete += v.at("complete").as_bool() ? 1 : 0;
    t.mixed += has_one_snapshot(v) ? 0 : 1;
}

auto percentile(std::vector<double> const& sorted, double p) -> double
{
    if (sorted.empty())
        return 0;
    auto const i =
        static_cast<std::size_t>(p * static_cast<double>(sorted.size() - 1));
    return sorted[i];
}

/// Sum of a metric over the instances; one that does not reply adds 0.
auto counter_sum(std::vector<std::string> const& to, std::string const& name)
    -> double
{
    auto sum = 0.0;
    for (auto const& address : to)
    {
        auto const text = ks::leaf::try_handle_all(
            [&]() -> ks::leaf::result<std::string>
            {
                BOOST_LEAF_AUTO(reply,
                    ks::call(address, {EVHTTP_REQ_GET, "/metrics", {}, {}},
                        ks::seconds{5}));
                return reply.body;
            },
            [] { return std::string{}; });
        auto in = std::istringstream{text};
        auto key = std::string{};
        auto value = 0.0;
        for (auto line = std::string{}; std::getline(in, line);)
            if (auto fields = std::istringstream{line};
                fields >> key >> value && key == "knapweedstream_" + name)
                sum += value;
    }
    return sum;
}

auto body_of(load_settings const& s, std::uint64_t n) -> std::string
{
    return json::serialize(json::object{{"customer", s.customer},
        {"service", s.service}, {"query", "q" + std::to_string(n % s.distinct)},
        {"deadline_ms", s.deadline_ms}});
}

/// A run of the load generator.
class generator
{
public:
    explicit generator(load_settings const& s)
        : s_(s), base_(ks::make_event_base()), random_(s.seed),
          send_timer_(base_.get(), [this] { send_due(); }),
          end_timer_(base_.get(), [this] { event_base_loopbreak(base_.get()); })
    {
    }

    auto run() -> load_stats
    {
        start_ = ks::steady_now();
        next_ = start_;
        auto const total = s_.warmup_s + s_.seconds;
        stop_ = start_ + seconds_of(total);
        end_timer_.after(seconds_of(total) + drain_time);
        send_timer_.after(ks::duration{0});
        event_base_dispatch(base_.get());
        return stats_;
    }

private:
    static auto seconds_of(double s) -> ks::duration
    {
        return ks::duration{static_cast<ks::duration::rep>(s * 1e6)};
    }

    auto send_due() -> void
    {
        auto gap = std::exponential_distribution<double>{s_.rate_per_s};
        auto const now = ks::steady_now();
        while (next_ <= now && next_ < stop_)
        {
            send(next_);
            next_ += seconds_of(gap(random_));
        }
        if (next_ < stop_)
            send_timer_.after(next_ - ks::steady_now());
    }

    auto acquire(std::string const& address)
        -> std::shared_ptr<ks::http_connection>
    {
        auto& idle = idle_[address];
        if (idle.empty())
            return std::make_shared<ks::http_connection>(
                base_.get(), address, ks::seconds{60});
        auto it = idle.back();
        idle.pop_back();
        return it;
    }

    auto send(ks::time_point planned) -> void
    {
        auto const n = sent_++;
        auto const& address = s_.to[n % s_.to.size()];
        auto const counted = planned >= start_ + seconds_of(s_.warmup_s);
        auto const c = acquire(address);
        ++open_;
        stats_.sent += counted ? 1 : 0;
        c->send({EVHTTP_REQ_POST, "/v1/query", {}, body_of(s_, n)},
            [=, this](ks::http_reply const& r)
            {
                auto const us = (ks::steady_now() - planned).count();
                if (counted)
                    count_reply(stats_, r, static_cast<double>(us) / 1000);
                if (r.status() != 0)
                    idle_[address].push_back(c);
                else
                    broken_.push_back(c);
                if (--open_ == 0 && next_ >= stop_)
                    event_base_loopbreak(base_.get());
            });
    }

    load_settings s_;
    ks::event_base_ptr base_;
    std::mt19937_64 random_;
    idle_pool idle_;
    std::vector<std::shared_ptr<ks::http_connection>> broken_;
    ks::time_point start_;
    ks::time_point next_;
    ks::time_point stop_;
    std::uint64_t sent_ = 0;
    std::uint64_t open_ = 0;
    load_stats stats_;
    ks::loop_event send_timer_;
    ks::loop_event end_timer_;
};

auto summary(load_settings const& s, load_stats t, double sent, double needed)
    -> json::object
{
    std::sort(t.latency_ms.begin(), t.latency_ms.end());
    auto const ok = static_cast<double>(t.statuses[200]);
    auto statuses = json::object{};
    for (auto const& [status, n] : t.statuses)
        statuses[std::to_string(status)] = n;
    return {{"service", s.service}, {"rate_per_s", s.rate_per_s},
        {"sent", t.sent}, {"answered", t.latency_ms.size()},
        {"statuses", std::move(statuses)},
        {"complete_share", t.sent == 0 ? 0.0
                                       : static_cast<double>(t.complete) /
                                             static_cast<double>(t.sent)},
        {"mean_coverage", ok == 0 ? 0.0 : t.coverage / ok},
        {"mixed_snapshots", t.mixed}, {"p50_ms", percentile(t.latency_ms, 0.5)},
        {"p90_ms", percentile(t.latency_ms, 0.9)},
        {"p99_ms", percentile(t.latency_ms, 0.99)},
        {"p999_ms", percentile(t.latency_ms, 0.999)},
        {"max_ms", t.latency_ms.empty() ? 0.0 : t.latency_ms.back()},
        {"extra_load", needed == 0 ? 0.0 : sent / needed - 1}};
}

} // namespace

auto run_load(load_settings const& settings) -> int
{
    auto const sent = [&]
    {
        return counter_sum(settings.to, "leaf_requests_sent_total");
    };
    auto const needed = [&]
    {
        return counter_sum(settings.to, "leaf_requests_needed_total");
    };
    auto const sent_before = sent();
    auto const needed_before = needed();
    auto const t = generator{settings}.run();
    auto const result =
        summary(settings, t, sent() - sent_before, needed() - needed_before);
    if (settings.as_json)
        std::cout << json::serialize(result) << "\n";
    else
        for (auto const& it : result)
            std::cout << it.key() << " = " << it.value() << "\n";
    return t.mixed == 0 ? 0 : 1;
}

} // namespace standin
