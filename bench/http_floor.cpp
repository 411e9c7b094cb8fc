/// Measures a lower bound on the CPU cost of a leaf request, by an evhttp
/// client loop that does nothing else.
///
/// usage: http_floor FIRST_PORT SHARDS SECONDS RATE
/// Sends one search to each leaf, RATE times per second, over separate
/// connections to each leaf, does not decode the replies and prints the CPU
/// time per request as JSON.
#include "adapter/http_client.hpp"

#include <sys/resource.h>

#include <cstdlib>
#include <iostream>

namespace ks = knapweedstream;

namespace
{

auto cpu_us() -> double
{
    auto u = rusage{};
    getrusage(RUSAGE_SELF, &u);
    auto const us = [](timeval const& t)
    {
        return 1e6 * static_cast<double>(t.tv_sec) +
               static_cast<double>(t.tv_usec);
    };
    return us(u.ru_utime) + us(u.ru_stime);
}

auto search(std::size_t shard) -> ks::http_request
{
    return {EVHTTP_REQ_POST, "/v1/search",
        {{"X-Request-Id", "1"}, {"X-Deadline-Ms", "2000"},
            {"X-Shard", std::to_string(shard)}, {"X-Epoch", "1"},
            {"X-Snapshot", "1"}},
        "q1"};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const arg = [&](int i, int fallback)
    {
        return argc > i ? std::atoi(argv[i]) : fallback;
    };
    auto const shards = static_cast<std::size_t>(arg(2, 100));
    auto const base = ks::make_event_base();
    using connection = std::unique_ptr<ks::http_connection>;
    auto idle = std::vector<std::vector<connection>>(shards);
    auto done = std::uint64_t{0};
    auto const end = ks::steady_now() + ks::seconds{arg(3, 6)};
    auto const interval = ks::duration{1'000'000 / arg(4, 40)};
    auto next = ks::steady_now();
    auto const send = [&](std::size_t i)
    {
        auto c = connection{};
        if (idle[i].empty())
            c = std::make_unique<ks::http_connection>(base.get(),
                "127.0.0.1:" + std::to_string(arg(1, 0) + static_cast<int>(i)),
                ks::seconds{10});
        else
        {
            c = std::move(idle[i].back());
            idle[i].pop_back();
        }
        auto* raw = c.release();
        raw->send(search(i),
            [&, i, raw](ks::http_reply const& r)
            {
                done += r.status() == 200 ? 1 : 0;
                idle[i].emplace_back(raw);
            });
    };
    auto* timer = static_cast<ks::loop_event*>(nullptr);
    auto round = ks::loop_event{base.get(), [&]
        {
            for (std::size_t i = 0; i < shards; ++i)
                send(i);
            next += interval;
            if (ks::steady_now() < end)
                timer->after(next - ks::steady_now());
            else
                event_base_loopexit(base.get(), nullptr);
        }};
    timer = &round;
    round.after(ks::duration{0});
    event_base_dispatch(base.get());
    std::cout << "{\"kind\":\"floor\",\"shards\":" << shards
              << ",\"requests\":" << done << ",\"cpu_us_per_leaf_request\":"
              << (done == 0 ? 0 : cpu_us() / static_cast<double>(done))
              << "}\n";
}
