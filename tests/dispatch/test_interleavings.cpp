/// Random schedules of everything that can happen to a dispatcher, and the
/// promises that hold whatever happens.
#include "dispatch/rig.hpp"

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
/// A registration that vanishes around an outage of the store may come back.
constexpr auto grace = dispatch_limits{}.lapse_grace;

auto service_name(int i) -> std::string
{
    return "s" + std::to_string(i);
}

/// Drives one rig by a seed.
class schedule
{
public:
    explicit schedule(std::uint64_t seed) : random_(seed)
    {
        rig_.age();
        rig_.begin(config(), {});
        for (auto i = 0; i < services * targets_of_service; ++i)
            enlist(i, false);
    }

    auto run() -> void
    {
        for (auto i = 0; i < steps; ++i)
            step();
        rig_.refused_addresses.clear();
        rig_.advance(ks::seconds{5});
    }

    /// Each request has one answer, before its deadline has long passed.
    auto check_answers() const -> void
    {
        auto count = std::map<std::uint64_t, int>{};
        for (auto const& it : rig_.answers)
            ++count[it.caller.value];
        for (auto const& [caller, asked] : asked_)
        {
            auto const n = count[caller.value];
            RC_ASSERT(n == (gone_.contains(caller) ? n : 1));
            RC_ASSERT(n <= 1);
        }
        for (auto const& it : rig_.answers)
            RC_ASSERT(it.at - asked_.at(it.caller) <= milliseconds{1'050});
        RC_ASSERT(rig_.core.gauges().requests_open == 0u);
    }

    /// At most one send of a request that is not idempotent may have run, and
    /// a refusal means that none has.
    auto check_once() const -> void
    {
        for (auto const& [id, runs] : once_runs_)
            RC_ASSERT(runs <= 1);
        for (auto const& it : rig_.answers)
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

    auto check_targets() const -> void { RC_ASSERT(late_sends_ == 0); }

private:
    auto below(int n) -> int
    {
        return std::uniform_int_distribution<>{0, n - 1}(random_);
    }

    auto config() -> ks::routing_config
    {
        auto all = shard_route({"s0", "s1", "s2"}, below(2) == 0 ? 0.6 : 1.0);
        all.path_prefix = "/all/";
        auto once = single_route(service_name(below(services)));
        once.name = "once";
        once.path_prefix = "/once/";
        once.delivery = ks::delivery_semantics::at_most_once;
        auto split = single_route("s0");
        split.name = "split";
        split.path_prefix = "/split/";
        split.to = ks::to_split{{{"s1", 3}, {"s2", 1}}};
        auto c = config_of(all, ++version_);
        c.routes.push_back(once);
        c.routes.push_back(split);
        c.services = {{"s0", "/h", 4, milliseconds{0}, 0},
            {"s1", "/h", 4, milliseconds{0}, 0},
            {"s2", "/h", 4, milliseconds{0}, 0}};
        return c;
    }

    auto enlist(int i, bool draining) -> void
    {
        auto const name = "t" + std::to_string(i);
        auto t = registered(name, service_name(i / targets_of_service),
            std::string(1, static_cast<char>('a' + i % 3)));
        t.draining = draining;
        t.started_ms = born_[i];
        if (draining)
            left_[name] = rig_.now;
        else
            left_.erase(name);
        change({name, ++revision_, t}, false);
    }

    auto change(ks::stored_object const& o, bool deleted) -> void
    {
        rig_.feed(store_changed{
            ks::store_kind::targets, {{o, deleted}}, ++revision_});
        rig_.advance(milliseconds{1});
    }

    auto ask() -> void
    {
        constexpr auto paths = std::array{"/all/x", "/once/x", "/split/x"};
        auto const path = below(3);
        auto const id = "q" + std::to_string(++requests_);
        auto const asked = rig_.now;
        auto const c = rig_.ask(id, paths.at(static_cast<std::size_t>(path)));
        asked_[c] = asked;
        if (path == 1)
            once_[c] = id;
        open_.push_back(c);
        note_sends();
    }

    /// Looks at what was sent since the last time.
    auto note_sends() -> void
    {
        for (auto const& it : rig_.take_sent())
        {
            auto const left = left_.find(it.target);
            late_sends_ += left != left_.end() && it.at > left->second;
            if (is_once(it.request))
                ++once_runs_[it.request];
            out_.push_back(it);
        }
    }

    auto is_once(std::string const& id) const -> bool
    {
        for (auto const& [c, name] : once_)
            if (name == id)
                return true;
        // The request is being asked at this moment.
        return false;
    }

    auto reply() -> void
    {
        if (out_.empty())
            return;
        auto const i =
            static_cast<std::size_t>(below(static_cast<int>(out_.size())));
        auto const s = out_[i];
        out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(i));
        auto const not_run = [&]
        {
            --once_runs_[s.request];
        };
        switch (below(10))
        {
        case 0:
            not_run();
            rig_.reply(s, ks::reply_overloaded{});
            break;
        case 1:
            not_run();
            rig_.reply(s, ks::reply_wrong_target{}, below(2) == 0);
            break;
        case 2:
            rig_.reply(s, ks::reply_failure{{500, "x", {}, ""}});
            break;
        case 3:
            rig_.reply(s, ks::reply_unusable{}, false);
            break;
        case 4:
            rig_.lose(s);
            break;
        default:
            rig_.reply(s, success("aaaaaaaaaaaaaaaa", "sig" + s.target),
                below(8) != 0);
        }
    }

    auto hang_up() -> void
    {
        if (open_.empty())
            return;
        auto const c = open_[static_cast<std::size_t>(
            below(static_cast<int>(open_.size())))];
        if (rig_.answer_to(c))
            return;
        gone_.insert(c);
        rig_.feed(caller_gone{c});
    }

    auto change_target() -> void
    {
        auto const i = below(services * targets_of_service);
        auto const name = "t" + std::to_string(i);
        switch (below(5))
        {
        case 0:
            ++born_[i]; // It starts again under its name.
            enlist(i, false);
            break;
        case 1:
            left_[name] = rig_.now + grace;
            change({name, ++revision_, ks::unreadable_object{"x"}}, false);
            break;
        case 2:
            left_[name] = rig_.now + grace;
            change({name, ++revision_, registered(name, "s0", "a")}, true);
            break;
        case 3:
            enlist(i, true);
            break;
        default:
            enlist(i, false);
        }
    }

    auto change_store() -> void
    {
        auto const kind = ks::store_kinds[static_cast<std::size_t>(below(5))];
        switch (below(6))
        {
        case 0:
            rig_.feed(store_failed{kind, ks::store_failure::timeout});
            break;
        case 1:
            rig_.feed(store_changed{ks::store_kind::configuration,
                {{{"main", ++revision_, config()}, false}}, revision_});
            break;
        case 2:
            rig_.feed(store_changed{ks::store_kind::instances, {}, 1});
            break;
        case 3:
            rig_.refused_addresses = {"t" + std::to_string(below(9)) + ":1"};
            break;
        case 4:
            rig_.refused_addresses.clear();
            break;
        default:
            rig_.tick_early();
        }
    }

    auto step() -> void
    {
        switch (below(12))
        {
        case 0:
        case 1:
        case 2:
            ask();
            break;
        case 3:
            rig_.advance(milliseconds{below(120)});
            break;
        case 4:
            hang_up();
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
        rig_.hold_opens = below(20) == 0;
        if (!rig_.hold_opens)
            rig_.open_held();
        rig_.advance(milliseconds{below(6)});
        note_sends();
    }

    std::mt19937_64 random_;
    rig rig_;
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 1'000;
    std::uint64_t requests_ = 0;
    std::map<int, std::int64_t> born_;
    /// When a target was to get nothing more.
    std::map<std::string, ks::time_point> left_;
    std::map<ks::caller_id, ks::time_point> asked_;
    std::map<ks::caller_id, std::string> once_;
    std::map<std::string, int> once_runs_;
    std::set<ks::caller_id> gone_;
    std::vector<ks::caller_id> open_;
    std::vector<sent> out_;
    int late_sends_ = 0;
};

} // namespace

TEST_CASE("routed: promises hold under random interleavings")
{
    CHECK(rc::check("interleavings",
        []
        {
            auto const seed = *rc::gen::arbitrary<std::uint64_t>();
            auto s = schedule{seed};
            s.run();
            s.check_answers();
            s.check_once();
            s.check_targets();
        }));
}
