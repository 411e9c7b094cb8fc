#include "core/dispatch/version_shift.hpp"
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <functional>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

constexpr auto order_length = ks::seconds{12};
constexpr auto rate_per_s = 100;

auto of_version(std::vector<ks::target_registration> list,
    std::string const& version) -> std::vector<ks::target_registration>
{
    for (auto& it : list)
    {
        it.version = version;
        it.name += "-" + version;
    }
    return list;
}

/// An instance with targets of the versions v1 and v2 and a rollout order for
/// v2.
struct rollout_fixture
{
    harness r;
    std::uint64_t revision = 1'000;
    std::size_t old_sent = 0;
    std::size_t new_sent = 0;

    rollout_fixture()
    {
        auto targets = of_version(three_targets("s"), "v1");
        for (auto const& it : of_version(three_targets("s"), "v2"))
            targets.push_back(it);
        r.finish_startup();
        r.feed_lists(config_of(single_route("s")), targets);
        publish_state(ks::order_state::waiting);
    }

    auto publish_state(ks::order_state state) -> void
    {
        auto const o = ks::rollout_order{"s", "v2", order_length, state};
        r.feed(store_changed{ks::store_kind::rollouts,
            {{{"s", ++revision, o}, false}}, revision});
    }

    /// Sends requests; `fails` decides which replies of the new version are
    /// failures. Order states that the instance writes are fed back to it.
    auto send_traffic(ks::duration length, std::function<bool()> const& fails)
        -> void
    {
        auto written = r.commands_of<store_write_order_state>().size();
        for (auto const end = r.now + length; r.now < end;)
        {
            r.submit("q");
            r.advance(milliseconds{5});
            for (auto const& it : r.take_sent())
            {
                auto const is_new = it.target.ends_with("v2");
                (is_new ? new_sent : old_sent) += 1;
                if (is_new && fails())
                    r.reply(it, ks::reply_failure{{500, "sig", {}, ""}});
                else
                    r.succeed(it);
            }
            r.advance(milliseconds{1'000 / rate_per_s - 5});
            auto const all = r.commands_of<store_write_order_state>();
            for (; written < all.size(); ++written)
                publish_state(all[written].state);
        }
    }

    auto last_state() const -> ks::order_state
    {
        auto const all = r.commands_of<store_write_order_state>();
        return all.empty() ? ks::order_state::waiting : all.back().state;
    }

    auto exposure() const -> double
    {
        return static_cast<double>(new_sent) /
               static_cast<double>(new_sent + old_sent);
    }
};

auto never() -> bool
{
    return false;
}

} // namespace

TEST_CASE("rollout: a good version gets few requests first, then all")
{
    auto o = rollout_fixture{};
    o.send_traffic(ks::seconds{8}, never);
    CHECK(o.last_state() == ks::order_state::running);
    CHECK(o.new_sent > 10);
    CHECK(o.exposure() <= dispatch_bounds{}.exposure_share);
    o.send_traffic(ks::seconds{3}, never);
    CHECK(o.last_state() == ks::order_state::completed);
    o.old_sent = 0;
    o.send_traffic(ks::seconds{2}, never);
    CHECK(o.old_sent == 0);
}

TEST_CASE("rollout: a bad version gets few requests and is rolled back")
{
    auto o = rollout_fixture{};
    auto n = 0;
    o.send_traffic(ks::seconds{12}, [&] { return ++n % 2 == 0; });
    CHECK(o.last_state() == ks::order_state::rolled_back);
    CHECK(o.exposure() <= dispatch_bounds{}.exposure_share);
    o.new_sent = 0;
    o.send_traffic(ks::seconds{2}, never);
    CHECK(o.new_sent == 0);
}

TEST_CASE(
    "rollout: a version that turns bad late in the rollout is rolled back")
{
    auto o = rollout_fixture{};
    o.send_traffic(ks::seconds{8}, never);
    auto const before = o.new_sent;
    o.send_traffic(ks::seconds{4}, [] { return true; });
    CHECK(o.last_state() == ks::order_state::rolled_back);
    CHECK(o.new_sent - before <= dispatch_bounds{}.exposure_slack);
}

TEST_CASE("rollout: the decision of another instance is followed")
{
    auto o = rollout_fixture{};
    o.send_traffic(ks::seconds{2}, never);
    o.publish_state(ks::order_state::rolled_back);
    o.new_sent = 0;
    o.send_traffic(ks::seconds{2}, never);
    CHECK(o.new_sent == 0);
    auto p = rollout_fixture{};
    p.send_traffic(ks::seconds{2}, never);
    p.publish_state(ks::order_state::completed);
    p.old_sent = 0;
    p.send_traffic(ks::seconds{2}, never);
    CHECK(p.old_sent == 0);
}

TEST_CASE("rollout: a write whose reply is lost is repeated")
{
    auto o = rollout_fixture{};
    o.r.advance(milliseconds{1});
    auto const first = o.r.commands_of<store_write_order_state>();
    REQUIRE(first.size() == 1);
    CHECK(first[0].state == ks::order_state::running);
    o.r.feed(store_written{
        ks::store_kind::rollouts, "s", 0, ks::store_failure::timeout});
    o.r.advance(ks::seconds{2});
    CHECK(o.r.commands_of<store_write_order_state>().size() >= 2);
}

TEST_CASE(
    "rollout: few instances try a version, together within the stated share")
{
    auto const bounds = dispatch_bounds{};
    for (auto const n : {1u, 6u, 8u, 80u, 440u})
    {
        auto sum = 0.0;
        for (std::size_t rank = 0; rank < n; ++rank)
        {
            auto const share = trial_share(bounds, rank, n);
            CHECK(share <= 0.5);
            sum += share;
        }
        CHECK(sum / n <= bounds.exposure_share / 2 + 1e-9);
        CHECK(sum > 0);
    }
}

TEST_CASE("rollouts: no state is written under a revision from before the "
          "store came back from an older copy")
{
    constexpr auto restored_era = std::uint64_t{2};
    auto f = rollout_fixture{};
    auto const writes = [&]
    {
        return f.r.commands_of<store_write_order_state>();
    };
    f.r.advance(ks::seconds{1});
    REQUIRE(!writes().empty());
    f.r.feed(store_changed{ks::store_kind::targets, {}, 50, restored_era});
    auto const before = writes().size();
    f.r.advance(order_length / 2);
    CHECK(writes().size() == before);
    auto const again = std::uint64_t{60};
    f.r.feed(store_listed{ks::store_kind::rollouts,
        {{"s", again,
            ks::rollout_order{
                "s", "v2", order_length, ks::order_state::waiting}}},
        "", again, false, restored_era});
    f.r.advance(ks::seconds{6});
    REQUIRE(writes().size() > before);
    CHECK(writes().back().revision == again);
}
