/// Feeds random schedules of requests, replies and faults to a dispatcher and
/// checks the invariants that hold under all of them.
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

constexpr auto services = 3;
constexpr auto targets_of_service = 3;
constexpr auto steps = 400;
/// How long a target is used after its registration vanished around a store
/// outage, since it may come back.
constexpr auto grace = dispatch_limits{}.lapse_grace;

auto service_name(int i) -> std::string
{
    return "s" + std::to_string(i);
}

/// Drives one harness with a schedule that depends only on a seed.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed) : random_(seed)
    {
        harness_.finish_startup();
        harness_.feed_lists(config(), {});
        for (auto i = 0; i < services * targets_of_service; ++i)
            register_target(i, false);
    }

    auto run() -> void
    {
        for (auto i = 0; i < steps; ++i)
            step();
        harness_.refused_addresses.clear();
        harness_.advance(ks::seconds{5});
    }

    /// Each request has one answer, at most 50 ms after its deadline; the
    /// request of a caller that has disconnected may have none.
    auto check_answers() const -> void
    {
        auto count = std::map<std::uint64_t, int>{};
        for (auto const& it : harness_.answers)
            ++count[it.caller.value];
        for (auto const& [caller, submitted] : submitted_at_)
        {
            auto const n = count[caller.value];
            RC_ASSERT(n == (disconnected_.contains(caller) ? n : 1));
            RC_ASSERT(n <= 1);
        }
        for (auto const& it : harness_.answers)
            RC_ASSERT(
                it.at - submitted_at_.at(it.caller) <= milliseconds{1'050});
        RC_ASSERT(harness_.core.gauges().requests_open == 0u);
    }

    /// Of an at-most-once request at most one send may have run, and none if
    /// the request was refused.
    auto check_at_most_once() const -> void
    {
        for (auto const& [id, runs] : once_runs_)
            RC_ASSERT(runs <= 1);
        for (auto const& it : harness_.answers)
        {
            auto const c = once_.find(it.caller);
            auto const refused =
                std::holds_alternative<ks::answer_refused>(it.answer);
            if (c == once_.end() || !refused)
                continue;
            auto const runs = once_runs_.find(c->second);
            auto const n = runs == once_runs_.end() ? 0 : runs->second;
            RC_ASSERT(n == 0);
        }
    }

    auto check_drained_targets() const -> void { RC_ASSERT(late_sends_ == 0); }

    /// An at-most-once request uses each connection once, so that a late copy
    /// of a rejection cannot answer a repeat.
    auto check_connections() const -> void { RC_ASSERT(reused_links_ == 0); }

private:
    auto random_below(int n) -> int
    {
        return std::uniform_int_distribution<>{0, n - 1}(random_);
    }

    auto config() -> ks::routing_config
    {
        auto all =
            shard_route({"s0", "s1", "s2"}, random_below(2) == 0 ? 0.6 : 1.0);
        all.path_start = "/all/";
        auto once = single_route(service_name(random_below(services)));
        once.name = "once";
        once.path_start = "/once/";
        once.delivery = ks::delivery_semantics::at_most_once;
        auto split = single_route("s0");
        split.name = "split";
        split.path_start = "/split/";
        split.to = ks::to_split{{{"s1", 3}, {"s2", 1}}};
        auto c = config_of(all, ++version_);
        c.routes.push_back(once);
        c.routes.push_back(split);
        c.services = {{"s0", "/h", 4, milliseconds{0}, 0},
            {"s1", "/h", 4, milliseconds{0}, 0},
            {"s2", "/h", 4, milliseconds{0}, 0}};
        return c;
    }

    auto register_target(int i, bool draining) -> void
    {
        auto const name = "t" + std::to_string(i);
        auto t = make_registration(name, service_name(i / targets_of_service),
            std::string(1, static_cast<char>('a' + i % 3)));
        t.draining = draining;
        t.started_ms = start_times_[i];
        if (draining)
            no_sends_after_[name] = harness_.now;
        else
            no_sends_after_.erase(name);
        change({name, ++revision_, t}, false);
    }

    auto change(ks::stored_object const& o, bool deleted) -> void
    {
        harness_.feed(store_changed{
            ks::store_kind::targets, {{o, deleted}}, ++revision_});
        harness_.advance(milliseconds{1});
    }

    auto submit() -> void
    {
        constexpr auto paths = std::array{"/all/x", "/once/x", "/split/x"};
        auto const path = random_below(3);
        auto const id = "q" + std::to_string(++requests_);
        auto const submitted = harness_.now;
        auto const c =
            harness_.submit(id, paths.at(static_cast<std::size_t>(path)));
        submitted_at_[c] = submitted;
        if (path == 1)
            once_[c] = id;
        open_callers_.push_back(c);
        record_sends();
    }

    /// Records the requests that were sent since the last call.
    auto record_sends() -> void
    {
        for (auto const& it : harness_.take_sent())
        {
            auto const left = no_sends_after_.find(it.target);
            late_sends_ +=
                left != no_sends_after_.end() && it.at > left->second;
            if (is_once(it.request))
            {
                ++once_runs_[it.request];
                auto const fresh =
                    used_links_.insert({it.request, it.connection}).second;
                reused_links_ += fresh ? 0 : 1;
            }
            awaiting_reply_.push_back(it);
        }
    }

    auto is_once(std::string const& id) const -> bool
    {
        for (auto const& [c, name] : once_)
            if (name == id)
                return true;
        // `submit` of this request has not returned yet.
        return false;
    }

    auto reply() -> void
    {
        if (awaiting_reply_.empty())
            return;
        auto const i = static_cast<std::size_t>(
            random_below(static_cast<int>(awaiting_reply_.size())));
        auto const s = awaiting_reply_[i];
        awaiting_reply_.erase(
            awaiting_reply_.begin() + static_cast<std::ptrdiff_t>(i));
        auto const not_run = [&]
        {
            --once_runs_[s.request];
        };
        switch (random_below(10))
        {
        case 0:
            not_run();
            harness_.reply(s, ks::reply_overloaded{});
            break;
        case 1:
            not_run();
            harness_.reply(s, ks::reply_wrong_target{}, random_below(2) == 0);
            break;
        case 2:
            harness_.reply(s, ks::reply_failure{{500, "x", {}, ""}});
            break;
        case 3:
            harness_.reply(s, ks::reply_unusable{}, false);
            break;
        case 4:
            harness_.break_connection(s);
            break;
        default:
            harness_.reply(s,
                success_reply("aaaaaaaaaaaaaaaa", "sig" + s.target),
                random_below(8) != 0);
        }
    }

    auto disconnect_caller() -> void
    {
        if (open_callers_.empty())
            return;
        auto const c = open_callers_[static_cast<std::size_t>(
            random_below(static_cast<int>(open_callers_.size())))];
        if (harness_.answer_to(c))
            return;
        disconnected_.insert(c);
        harness_.feed(caller_gone{c});
    }

    auto change_target() -> void
    {
        auto const i = random_below(services * targets_of_service);
        auto const name = "t" + std::to_string(i);
        switch (random_below(5))
        {
        case 0:
            ++start_times_[i]; // It restarts under the same name.
            register_target(i, false);
            break;
        case 1:
            no_sends_after_[name] = harness_.now + grace;
            change({name, ++revision_, ks::unreadable_object{"x"}}, false);
            break;
        case 2:
            no_sends_after_[name] = harness_.now + grace;
            change(
                {name, ++revision_, make_registration(name, "s0", "a")}, true);
            break;
        case 3:
            register_target(i, true);
            break;
        default:
            register_target(i, false);
        }
    }

    auto change_store() -> void
    {
        auto const kind =
            ks::store_kinds[static_cast<std::size_t>(random_below(6))];
        switch (random_below(6))
        {
        case 0:
            harness_.feed(store_failed{kind, ks::store_failure::timeout});
            break;
        case 1:
            harness_.feed(store_changed{ks::store_kind::configuration,
                {{{"main", ++revision_, config()}, false}}, revision_});
            break;
        case 2:
            harness_.feed(store_changed{ks::store_kind::instances, {}, 1});
            break;
        case 3:
            harness_.refused_addresses = {
                "t" + std::to_string(random_below(9)) + ":1"};
            break;
        case 4:
            harness_.refused_addresses.clear();
            break;
        default:
            harness_.tick_early();
        }
    }

    auto step() -> void
    {
        switch (random_below(12))
        {
        case 0:
        case 1:
        case 2:
            submit();
            break;
        case 3:
            harness_.advance(milliseconds{random_below(120)});
            break;
        case 4:
            disconnect_caller();
            break;
        case 5:
            change_target();
            break;
        case 6:
            change_store();
            break;
        default:
            reply();
        }
        harness_.hold_opens = random_below(20) == 0;
        if (!harness_.hold_opens)
            harness_.complete_held_opens();
        harness_.advance(milliseconds{random_below(6)});
        record_sends();
    }

    std::mt19937_64 random_;
    harness harness_;
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 1'000;
    std::uint64_t requests_ = 0;
    std::map<int, std::int64_t> start_times_;
    /// Time after which a target may get no requests, by name.
    std::map<std::string, ks::time_point> no_sends_after_;
    std::map<ks::caller_id, ks::time_point> submitted_at_;
    std::map<ks::caller_id, std::string> once_;
    std::map<std::string, int> once_runs_;
    std::set<ks::caller_id> disconnected_;
    std::vector<ks::caller_id> open_callers_;
    std::vector<sent_request> awaiting_reply_;
    int late_sends_ = 0;
    /// Connections on which each at-most-once request was sent.
    std::set<std::pair<std::string, ks::connection_id>> used_links_;
    int reused_links_ = 0;
};

} // namespace

TEST_CASE("routed: invariants hold under random interleavings")
{
    CHECK(rc::check("interleavings",
        []
        {
            auto const seed = *rc::gen::arbitrary<std::uint64_t>();
            auto s = random_schedule{seed};
            s.run();
            s.check_answers();
            s.check_at_most_once();
            s.check_drained_targets();
            s.check_connections();
        }));
}
