/// Tests of real processes whose store comes back from an older copy: targets
/// drain, join and leave and the configuration changes after the return.
#include "routed_cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace processes;

namespace
{

constexpr auto instance_count = 2;
constexpr auto replicas = 7;
constexpr auto drain_bound = milliseconds{4'000};
constexpr auto config_bound = milliseconds{4'000};
constexpr auto evacuate_bound = milliseconds{5'000};
constexpr auto lost_revisions = 60;
constexpr auto away = milliseconds{700};

// Targets in the instances' zone.
auto const drained = std::string{"t0-1"};
auto const removed = std::string{"t3-1"};
auto const joined = std::string{"t6-1"};

/// A request and what became of it.
struct served
{
    time_point sent;
    int instance = 0;
    std::uint32_t status = 0;
    std::string target;
};

/// Two instances that know the last state of targets and configuration from
/// revisions that the store will lose, and a caller of each.
class restored_fleet
{
public:
    explicit restored_fleet(std::uint16_t first_port)
        : cluster(first_port, replicas), base_(make_event_base())
    {
        REQUIRE(wait_for(seconds{10},
            [&] { return !cluster.spec_of("config", "main").empty(); }));
        joined_spec_ = cluster.spec_of("servers", joined);
        REQUIRE(cluster.remove("servers", joined));
        for (auto i = 0; i < instance_count; ++i)
            cluster.start_instance(i);
        REQUIRE(wait_for(seconds{10},
            [&] { return cluster.is_ready(0) && cluster.is_ready(1); }));
        write_targets_often();
        write_next_config();
        send_for(milliseconds{1'000});
    }

    /// Loses the last revisions. Operator and targets have written again after
    /// `rewrite`.
    auto restore(milliseconds rewrite) -> void
    {
        REQUIRE(cluster.control_store(
            "restore=" + std::to_string(lost_revisions) +
            "&away_ms=" + std::to_string(away.count()) +
            "&rewrite_ms=" + std::to_string(rewrite.count())));
        returned_ = steady_now() + away;
    }

    /// Sends requests to all instances that run, in turn.
    auto send_until(time_point end) -> void
    {
        while (steady_now() < end)
            for (auto i = 0; i < instance_count; ++i)
                if (i != suspended)
                    send(i, "/one/x");
    }

    auto send_for(milliseconds d) -> void { send_until(steady_now() + d); }

    /// Sends requests until a time after the store's return.
    auto send_until_return_and(milliseconds d) -> void
    {
        send_until(returned_ + d);
    }

    /// One target drains, one leaves without a word, one joins, and the
    /// configuration gets a new route.
    auto change() -> void
    {
        auto spec = cluster.spec_of("servers", drained);
        spec["state"] = "draining";
        CHECK(cluster.replace("servers", drained, spec));
        CHECK(cluster.remove("servers", removed));
        CHECK(cluster.create("servers", joined, joined_spec_));
        write_next_config("/new/");
    }

    /// Evacuates the instances' zone.
    auto evacuate() -> void
    {
        CHECK(cluster.create("evacuations", "a", {{"zone", "a"}}));
    }

    /// Checks that the zone's targets get no requests once all instances must
    /// know of its evacuation, and that all requests are served.
    auto check_evacuation(time_point since) -> void
    {
        for (auto i = 0; i < instance_count; ++i)
            CHECK(count(0, i, drained) > 0);
        send_until(since + evacuate_bound);
        auto const first = log_.size();
        send_for(milliseconds{2'000});
        for (auto i = 0; i < instance_count; ++i)
            for (auto const& it : {drained, removed, joined})
            {
                CAPTURE(i);
                CAPTURE(it);
                CHECK(count(first, i, it) == 0);
            }
        CHECK(are_all_served());
    }

    /// Writes more revisions than were lost.
    auto write_more() -> void
    {
        for (auto n = 0; n < 2 * lost_revisions; ++n)
            CHECK(cluster.create("other", std::to_string(n), {}));
    }

    /// Checks what the instances make of `change`, which all of them could see
    /// from `since`.
    auto check(time_point since) -> void
    {
        send_until(since + std::max(drain_bound, config_bound));
        auto const first = log_.size();
        send_for(milliseconds{2'000});
        for (auto i = 0; i < instance_count; ++i)
        {
            CAPTURE(i);
            CAPTURE(targets_of(first, i));
            CHECK(count(first, i, drained) == 0);
            CHECK(count(first, i, removed) == 0);
            CHECK(count(first, i, joined) > 0);
            CHECK(cluster.ask("/new/x", i) == 200);
        }
        CHECK(are_all_served());
    }

    routed_cluster cluster;
    int suspended = -1; ///< Instance that gets no requests.

private:
    auto send(int i, std::string const& path) -> void
    {
        auto const now = steady_now();
        auto const m = cluster.answer_to(base_.get(), path, i);
        auto const stamp = std::string{find_field(m, "X-Server-Stamp")};
        log_.push_back({now, i, m.status, stamp.substr(0, stamp.find('.'))});
    }

    /// Targets that got an instance's requests, with their numbers.
    auto targets_of(std::size_t first, int instance) const -> std::string
    {
        auto numbers = std::map<std::string, int>{};
        for (auto n = first; n < log_.size(); ++n)
            if (log_[n].instance == instance)
                ++numbers[log_[n].target];
        auto out = std::string{};
        for (auto const& [target, n] : numbers)
            out += target + "=" + std::to_string(n) + " ";
        return out;
    }

    auto are_all_served() const -> bool
    {
        return std::all_of(log_.begin(), log_.end(),
            [](served const& it) { return it.status == 200; });
    }

    auto count(std::size_t first, int instance, std::string const& target) const
        -> std::ptrdiff_t
    {
        return std::count_if(log_.begin() + static_cast<std::ptrdiff_t>(first),
            log_.end(),
            [&](served const& it)
            { return it.instance == instance && it.target == target; });
    }

    /// Writes each registration several times, `lost_revisions` in all or more.
    auto write_targets_often() -> void
    {
        for (auto n = 0; n < lost_revisions; n += 2 * replicas)
            for (auto i = 0; i < 2 * replicas; ++i)
            {
                auto const name = "t" + std::to_string(i) + "-1";
                auto spec = cluster.spec_of("servers", name);
                if (spec.empty())
                    continue;
                spec["sequence"] = n + 2;
                CHECK(cluster.replace("servers", name, spec));
            }
    }

    /// Writes the next version of the configuration, with one more route to
    /// shard 1 if a path is given.
    auto write_next_config(char const* more_path = nullptr) -> void
    {
        auto spec = cluster.spec_of("config", "main");
        spec["version"] = ++config_version_;
        auto& routes = spec["routes"].as_array();
        if (more_path != nullptr)
        {
            auto route = routes.at(1).as_object();
            route["name"] = "more";
            route["path_prefix"] = more_path;
            route["service"] = "shard1";
            routes.push_back(route);
        }
        CHECK(cluster.replace("config", "main", spec));
    }

    event_base_ptr base_;
    json::object joined_spec_;
    std::vector<served> log_;
    time_point returned_;
    int config_version_ = 1;
};

/// Changes that are written some time after the store's return, when operator
/// and targets have written again.
auto check_changes_after(std::uint16_t first_port, milliseconds delay) -> void
{
    auto f = restored_fleet{first_port};
    f.restore(away + milliseconds{200});
    f.send_until_return_and(delay);
    f.change();
    f.check(steady_now());
}

} // namespace

TEST_CASE("restored store: draining and removed targets get no requests and a "
          "new target and configuration are used 1 s after the return")
{
    check_changes_after(27'000, milliseconds{1'000});
}

TEST_CASE("restored store: draining and removed targets get no requests and a "
          "new target and configuration are used 5 s after the return")
{
    check_changes_after(27'100, milliseconds{5'000});
}

TEST_CASE(
    "restored store: a zone that is evacuated afterwards gets no requests")
{
    auto port = std::uint16_t{27'500};
    for (auto const delay : {milliseconds{1'000}, milliseconds{5'000}})
    {
        CAPTURE(delay.count());
        auto f = restored_fleet{port};
        port += 50;
        f.restore(away + milliseconds{200});
        f.send_until_return_and(delay);
        f.evacuate();
        f.check_evacuation(steady_now());
    }
}

TEST_CASE(
    "restored store: changes are not passed over when more revisions were "
    "written than lost before an instance reached the store")
{
    auto f = restored_fleet{27'200};
    f.restore(milliseconds{50});
    f.send_for(milliseconds{150});
    f.change();
    f.write_more();
    f.send_until_return_and(milliseconds{0});
    f.check(steady_now());
}

TEST_CASE("restored store: an instance that was suspended through the loss "
          "follows the changes made meanwhile")
{
    auto f = restored_fleet{27'300};
    f.suspended = 1;
    f.cluster.instances[1]->send(SIGSTOP);
    f.restore(away + milliseconds{200});
    f.send_until_return_and(milliseconds{1'000});
    f.change();
    f.write_more();
    f.send_for(milliseconds{1'000});
    f.cluster.instances[1]->send(SIGCONT);
    f.suspended = -1;
    f.check(steady_now());
}

TEST_CASE("restored store: answers whose Store-Era is no number before the "
          "first one that states the new era do not hide later changes")
{
    auto f = restored_fleet{27'400};
    REQUIRE(f.cluster.control_store("era=x1"));
    f.restore(away + milliseconds{200});
    f.send_until_return_and(milliseconds{1'000});
    REQUIRE(f.cluster.control_store("era=own"));
    f.change();
    f.check(steady_now());
}
