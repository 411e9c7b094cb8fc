/// Measures the time that the core takes to handle an event, by kind of event,
/// at a given number of targets.
///
/// usage: core_cost TARGETS SHARDS QUERIES_AT_ONCE
/// Prints one JSON line: median nanoseconds per event of each kind, the mean
/// for leaf answers, and the time of a whole query divided by its shards.
#include "core/node.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <unordered_map>

namespace ks = knapweedstream;

namespace
{

using clock_type = std::chrono::steady_clock;

/// Durations of events in nanoseconds.
struct sample_set
{
    std::vector<double> ns;

    auto median() -> double
    {
        if (ns.empty())
            return 0;
        auto const mid =
            ns.begin() + static_cast<std::ptrdiff_t>(ns.size() / 2);
        std::nth_element(ns.begin(), mid, ns.end());
        return *mid;
    }

    auto mean() const -> double
    {
        auto sum = 0.0;
        for (auto const it : ns)
            sum += it;
        return ns.empty() ? 0 : sum / static_cast<double>(ns.size());
    }
};

/// Drives a node in place of its targets: accepts its connections and answers
/// its searches without network delay.
class driver
{
public:
    driver(std::uint32_t targets, std::uint32_t shards)
        : shards_(shards),
          node_({{"n", "n:1", "z", false}, 1, limits(), {}}, now_)
    {
        send_event(ks::tick{});
        auto c = ks::customer_config{};
        c.name = "c";
        c.version = {0, 1};
        c.max_queries = 100'000;
        auto s = ks::service_info{};
        s.name = "s";
        s.shards = shards;
        s.deadline = ks::seconds{10};
        s.limits.slots = 16;
        s.limits.connections = 256;
        s.limits.warmup = ks::milliseconds{0};
        for (std::uint32_t i = 0; i < targets; ++i)
        {
            auto const name = "t" + std::to_string(i);
            s.targets.push_back({name, name, "z", {i % shards}, {}});
        }
        c.services.push_back(s);
        send_event(ks::config_read{c});
        drain();
    }

    /// Sends queries together and handles events until none is pending.
    auto query(std::uint32_t at_once) -> void
    {
        for (std::uint32_t i = 0; i < at_once; ++i)
            send_event(ks::caller_query{
                {++caller_}, {"c", "s", "q", ks::milliseconds{5'000}, 100}});
        drain();
    }

    sample_set answers;         ///< Events that carry a leaf's answer.
    sample_set starts;          ///< Events that carry a caller's query.
    sample_set turns;           ///< All other events.
    std::uint64_t complete = 0; ///< Answers with no shard missing.
    bool measuring = false;

private:
    static auto limits() -> ks::node_limits
    {
        auto l = ks::node_limits{};
        l.max_queries = 100'000;
        return l;
    }

    /// Lets the node handle an event, timed if `measuring` is set.
    auto send_event(ks::event const& e) -> void
    {
        now_ += ks::duration{1};
        auto const from = clock_type::now();
        auto const out = node_.handle(e, now_);
        auto const ns =
            std::chrono::duration<double, std::nano>(clock_type::now() - from)
                .count();
        if (measuring)
            samples_of(e).ns.push_back(ns);
        for (auto const& it : out)
            reply_to(it);
    }

    auto samples_of(ks::event const& e) -> sample_set&
    {
        if (std::holds_alternative<ks::leaf_answered>(e))
            return answers;
        return std::holds_alternative<ks::caller_query>(e) ? starts : turns;
    }

    auto reply_to(ks::command const& c) -> void
    {
        auto const report = ks::target_report{{7}, {1}, false};
        if (auto const* it = std::get_if<ks::leaf_open>(&c))
            pending_events_.push_back(ks::leaf_opened{it->connection, report});
        else if (auto const* search = std::get_if<ks::leaf_search>(&c))
            pending_events_.push_back(
                ks::leaf_answered{search->connection, search->attempt, report,
                    ks::leaf_rows{{search->shard, search->at, {{1, "k"}}}}});
        else if (auto const* answer = std::get_if<ks::answer_query>(&c))
            complete += answer->answer.covered.missing.empty() ? 1 : 0;
    }

    /// Handles pending events, and those that follow, until none is left. Ends
    /// the loop turn after every 32 events.
    auto drain() -> void
    {
        auto n = 0;
        while (!pending_events_.empty())
        {
            auto const e = std::move(pending_events_.front());
            pending_events_.pop_front();
            send_event(e);
            if (++n % 32 == 0)
                send_event(ks::turn_ended{});
        }
        send_event(ks::turn_ended{});
        send_event(ks::tick{});
        if (!pending_events_.empty())
            drain();
    }

    std::uint32_t shards_;
    ks::time_point now_{ks::seconds{1}};
    ks::node node_;
    std::deque<ks::event> pending_events_;
    std::uint64_t caller_ = 0;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const arg = [&](int i, std::uint32_t fallback)
    {
        return argc > i ? static_cast<std::uint32_t>(std::atoi(argv[i]))
                        : fallback;
    };
    auto const targets = arg(1, 2'900);
    auto const shards = std::min(arg(2, 1'900), targets);
    auto const at_once = arg(3, 4);
    auto d = driver{targets, shards};
    for (auto i = 0; i < 5; ++i)
        d.query(at_once);
    d.measuring = true;
    d.complete = 0;
    auto const rounds = std::max(3u, 200'000 / (shards * at_once));
    auto const from = clock_type::now();
    for (std::uint32_t i = 0; i < rounds; ++i)
        d.query(at_once);
    auto const total =
        std::chrono::duration<double, std::nano>(clock_type::now() - from)
            .count();
    auto const n = static_cast<double>(rounds) * at_once;
    std::cout << "{\"targets\":" << targets << ",\"shards\":" << shards
              << ",\"at_once\":" << at_once
              << ",\"complete_share\":" << static_cast<double>(d.complete) / n
              << ",\"answer_median_ns\":" << d.answers.median()
              << ",\"answer_mean_ns\":" << d.answers.mean()
              << ",\"query_start_median_ns\":" << d.starts.median()
              << ",\"turn_median_ns\":" << d.turns.median()
              << ",\"per_shard_ns\":" << total / n / shards << "}\n";
}
