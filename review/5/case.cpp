/// A leaf is replaced while an instance, ready for long, has had no request
/// yet; its first requests come later than `drain_ms` after that.
#include "../kit/deployment.hpp"

using namespace review;

namespace
{

constexpr auto service = "bestel";
constexpr auto drain_ms = std::int64_t{4'000};
constexpr auto work_ms = 120; ///< Mean of order-fetch in the site file.
constexpr auto first_requests_after_ms = std::int64_t{4'400};
constexpr auto leaf_serves_ms = std::int64_t{4'500};
constexpr auto clients = 12;

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const args = parse_arguments(argc, argv);
    start_time();
    auto note = record{args.folder + "/record.txt"};
    auto log = arrival_log{};
    auto platform = store{};
    auto const work = [](http_text const&)
    {
        sleep_ms(work_ms);
        return leaf_reply{};
    };
    auto leafs = std::vector<std::unique_ptr<leaf>>{};
    auto const add_leaf = [&]
    {
        auto const id = id_of("i-", static_cast<int>(leafs.size()));
        leafs.push_back(std::make_unique<leaf>(id, 0, log, work));
        auto r = registration{service, leafs.back()->port()};
        r.slots = 2;
        platform.put("servers", id, r.text());
    };
    add_leaf();
    add_leaf();
    add_leaf();
    platform.put("config", "main",
        config_text(1, route_text("/order/", "unsafe", service),
            service_text(service)));

    auto machine = instance{args, "frontend-0", platform.port()};
    machine.start();
    if (!machine.wait_until_ready(8'000))
        return could_not_run;
    note("instance is ready");
    sleep_ms(8'000); // In touch from here on.

    if (args.trouble)
    {
        add_leaf();
        note("store: i-3 has registered");
        sleep_ms(100);
        auto r = registration{service, leafs[0]->port(), "draining", 0, 2};
        r.slots = 2;
        platform.put("servers", "i-0", r.text());
        note("store: i-0 is draining, acknowledged");
    }
    auto const drained = now_ms();
    auto answers = std::vector<client_answer>(clients);
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; i < clients; ++i)
        threads.emplace_back(
            [&, i]
            {
                auto const fd = connect_to(machine.caller_port());
                sleep_until_ms(drained + first_requests_after_ms);
                answers[i] = ask_on(
                    fd, "POST", "/order/1", id_of("a", i), 3'000, "order");
            });
    if (args.trouble)
    {
        sleep_until_ms(drained + leaf_serves_ms);
        leafs[0]->stop();
        platform.remove("servers", "i-0");
        note("leaf: i-0 has left");
    }
    for (auto& it : threads)
        it.join();

    auto late = 0;
    for (auto const& it : log.all())
    {
        note("leaf: ", it.leaf, " began ", it.id, " ", it.at - drained,
            " ms after the acknowledgement");
        late += args.trouble && it.leaf == "i-0" && it.at > drained + drain_ms;
    }
    for (auto i = 0; i < clients; ++i)
        note("client: a", i, " answered ", answers[i].status);
    note("DRAIN ", late > 0 ? "broken" : "held", ": ", late,
        " requests reached i-0 later than drain_ms");
    return late > 0 ? rule_broken : rule_held;
}
