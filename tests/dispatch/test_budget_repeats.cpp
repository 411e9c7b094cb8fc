#include "dispatch/budget_fleet.hpp"

#include <doctest/doctest.h>

#include <map>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::seconds;

namespace
{

constexpr auto all_ways = target_faults{.reset = 0.15,
    .refuse = 0.15,
    .fail = 0.15,
    .unsent = 0.1,
    .late = 0.3,
    .displaced = 0.002};

/// Lets half of the instances restart and the targets of displaced ones
/// register again, beside faults.
auto run_with_restarts(budget_fleet& fleet, target_faults const& faults) -> void
{
    fleet.run(seconds{20}, {});
    fleet.run(seconds{15}, faults);
    fleet.route_to("s");
    for (auto i = std::size_t{0}; i < fleet.instances(); i += 2)
        fleet.restart(i);
    fleet.run(seconds{25}, faults);
}

} // namespace

TEST_CASE("budget repeats: each way in which a request is sent again counts")
{
    auto const ways = std::vector<target_faults>{{.reset = 0.9},
        {.refuse = 0.9}, {.fail = 0.9}, {.unsent = 0.6}, {.late = 0.7},
        {.late = 1}, {.refuse = 0.4, .displaced = 0.01},
        {.refuse = 0.3, .mute = "s-a"}, all_ways};
    auto sent = std::map<attempt_kind, std::size_t>{};
    auto ended = std::map<attempt_end, std::size_t>{};
    // With a small ratio few repeats that are not charged are too many.
    auto const low = fleet_plan{40, 400, 1, 1, 0.02};
    for (auto const& it : ways)
        for (auto const& plan : {fleet_plan{}, low})
        {
            CAPTURE(&it - ways.data());
            CAPTURE(plan.ratio);
            auto fleet = budget_fleet{plan};
            run_with_restarts(fleet, it);
            CHECK(fleet.worst_use_of_budget() <= 1);
            CHECK(fleet.most_runs() <= 3);
            for (auto const k : {attempt_kind::hedge, attempt_kind::rescue,
                     attempt_kind::retry, attempt_kind::probe})
                sent[k] += fleet.extra_sends(k);
            for (auto const e : {attempt_end::failure, attempt_end::overloaded,
                     attempt_end::wrong_target, attempt_end::lost,
                     attempt_end::unsent, attempt_end::turned_away})
                ended[e] += fleet.ends(e);
        }
    for (auto const& [kind, n] : sent)
    {
        CAPTURE(static_cast<int>(kind));
        CHECK(n > 0);
    }
    for (auto const& [end, n] : ended)
    {
        CAPTURE(static_cast<int>(end));
        CHECK(n > 0);
    }
}

TEST_CASE("budget repeats: the budget of a service outlasts a reshard")
{
    for (auto const away : {1, 4, 9})
    {
        CAPTURE(away);
        auto fleet = budget_fleet{};
        fleet.run(seconds{20}, {});
        for (auto k = 0; k < 4; ++k)
        {
            fleet.run(seconds{6}, {.refuse = 0.9});
            fleet.route_to("s2");
            fleet.run(seconds{away}, {.refuse = 0.9});
            fleet.route_to("s");
        }
        fleet.run(seconds{12}, {.refuse = 0.9});
        CHECK(fleet.worst_use_of_budget() <= 1);
    }
}
