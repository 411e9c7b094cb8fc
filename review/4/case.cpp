/// An instance is killed and starts again while a leaf of a large deployment
/// leaves. Stale reads of the store differ in age from page to page.
#include "../kit/deployment.hpp"

using namespace review;

namespace
{

constexpr auto service = "bestel";
constexpr auto drain_ms = std::int64_t{4'000};
constexpr auto stable_window_ms = std::int64_t{5'000};
constexpr auto stale_ms = std::int64_t{3'000};
constexpr auto leaf_serves_ms = std::int64_t{8'000};
/// The last requests before the leaf leaves.
constexpr auto last_requests_ms = std::int64_t{7'900};
constexpr auto leafs_of_others = 50;
constexpr auto leaf_count = 8;
constexpr auto clients = 32;

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const args = parse_arguments(argc, argv);
    start_time();
    auto note = record{args.folder + "/record.txt"};
    auto log = arrival_log{};
    // The first page of a stale list is up to date, the next one is not.
    auto platform = store{[](std::string const& kind, std::size_t page)
        {
            return kind == "servers" && page > 0 ? stale_ms : 0;
        }};
    auto const work = [](http_text const&)
    {
        sleep_ms(120);
        return leaf_reply{};
    };
    // Fifty leafs of another service fill the first page.
    for (auto i = 0; i < leafs_of_others; ++i)
        platform.put("servers", id_of("a-", 100 + i),
            registration{"meldkamer", free_port()}.text());
    auto leafs = std::vector<std::unique_ptr<leaf>>{};
    for (auto i = 0; i < leaf_count; ++i)
    {
        auto const id = id_of("i-", i);
        leafs.push_back(std::make_unique<leaf>(id, 0, log, work));
        platform.put(
            "servers", id, registration{service, leafs.back()->port()}.text());
    }
    platform.put("config", "main",
        config_text(1, route_text("/order/", "unsafe", service),
            service_text(service)));

    sleep_ms(stale_ms + 1'000); // Stale reads return all of this.
    auto machine = instance{args, "frontend-0", platform.port()};
    machine.start();
    if (!machine.wait_until_ready(8'000))
        return could_not_run;
    note("instance is ready");
    sleep_ms(6'000);

    auto const send_all = [&](char const* prefix)
    {
        auto threads = std::vector<std::thread>{};
        for (auto i = 0; i < clients; ++i)
            threads.emplace_back(
                [&, i]
                {
                    auto const a = ask(machine.caller_port(), "POST",
                        "/order/1", id_of(prefix, i), 3'000, "order");
                    note("client: ", prefix, i, " answered ", a.status);
                });
        for (auto& it : threads)
            it.join();
    };
    send_all("a");

    platform.put("servers", "i-0",
        registration{service, leafs[0]->port(), "draining", 0, 2}.text());
    auto const drained = now_ms();
    note("store: i-0 is draining, acknowledged");
    sleep_ms(500);
    if (args.trouble)
    {
        machine.kill_and_wait(SIGKILL);
        note("the instance is killed");
        sleep_ms(700);
        machine.start();
        if (!machine.wait_until_ready(8'000))
            return could_not_run;
        note("the instance is ready again");
    }
    sleep_ms(stable_window_ms + 500); // In touch again.
    send_all("b");
    sleep_until_ms(drained + last_requests_ms);
    auto last = std::thread{[&]
        {
            send_all("c");
        }};
    sleep_until_ms(drained + leaf_serves_ms);
    leafs[0]->stop();
    platform.remove("servers", "i-0");
    note("leaf: i-0 has left");
    last.join();

    auto late = 0;
    for (auto const& it : log.all())
    {
        if (it.leaf != "i-0" || it.at < drained + drain_ms)
            continue;
        ++late;
        note("leaf: i-0 began ", it.id, " ", it.at - drained,
            " ms after the acknowledgement");
    }
    note("DRAIN ", late > 0 ? "broken" : "held", ": ", late,
        " requests reached i-0 later than drain_ms");
    return late > 0 ? rule_broken : rule_held;
}
