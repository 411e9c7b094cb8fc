#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <set>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

/// Watches of the targets so far.
auto target_watches(harness const& r) -> int
{
    auto n = 0;
    for (auto const& it : r.commands_of<store_watch>())
        n += it.kind == ks::store_kind::targets ? 1 : 0;
    return n;
}

/// Ends the watch of the targets with a new target.
auto notify_change(harness& r, std::uint64_t revision) -> void
{
    r.feed(store_changed{ks::store_kind::targets,
        {{{"s-d", revision, make_registration("s-d", "s", "a")}, false}},
        revision});
}

} // namespace

TEST_CASE("store: a registration that vanishes long after an outage is gone at "
          "once, one that vanishes with it after a grace period")
{
    for (auto const late : {false, true})
    {
        auto r = harness{};
        r.advance(ks::seconds{30});
        r.feed_lists(config_of(single_route("s")), three_targets("s"));
        r.feed(store_failed{
            ks::store_kind::targets, ks::store_failure::unreachable});
        r.advance(ks::seconds{4});
        r.feed(store_changed{ks::store_kind::targets, {}, 50});
        if (late)
            r.advance(ks::seconds{3});
        auto const t = make_registration("s-a", "s", "a");
        r.feed(store_changed{
            ks::store_kind::targets, {{{"s-a", 60, t}, true}}, 60});
        auto const is_gone = [&]
        {
            auto const all = r.facts<target_condition_changed>();
            return all.back().condition == target_condition::gone;
        };
        CHECK(is_gone() == late);
        r.advance(ks::milliseconds{2'300});
        CHECK(is_gone());
    }
}

TEST_CASE("store: during an outage only one kind of object is requested")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    for (auto const k : {ks::store_kind::targets, ks::store_kind::evacuations,
             ks::store_kind::configuration, ks::store_kind::rollouts})
        r.feed(store_failed{k, ks::store_failure::busy});
    auto answered = r.commands_of<store_watch>().size();
    auto const before = answered;
    auto asked_at = r.now;
    for (auto i = 0; i < 100; ++i)
    {
        r.advance(milliseconds{100});
        auto const all = r.commands_of<store_watch>();
        // So that the return of the store is noticed soon.
        CHECK(r.now - asked_at <= ks::seconds{2});
        for (; answered < all.size(); ++answered)
        {
            r.feed(store_failed{all[answered].kind, ks::store_failure::busy});
            asked_at = r.now;
        }
    }
    CHECK(answered - before <= 15); // In 10 s.
    // Once the store is back, all kinds are followed again at once.
    while (r.commands_of<store_watch>().size() == answered)
        r.advance(milliseconds{10});
    auto const prober = r.commands_of<store_watch>().back().kind;
    r.feed(store_changed{prober, {}, 2'000});
    r.advance(milliseconds{5});
    auto kinds = std::set<ks::store_kind>{};
    auto const all = r.commands_of<store_watch>();
    for (auto i = answered; i < all.size(); ++i)
        kinds.insert(all[i].kind);
    CHECK(kinds.size() == 4);
}

TEST_CASE("store: an instance records itself until it is listed")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    REQUIRE(r.commands_of<store_write_record>().size() == 1);
    CHECK(!r.commands_of<store_write_record>()[0].replaced);
    // The list was stale: the record of an earlier start exists.
    r.feed(store_written{
        ks::store_kind::instances, "me", 0, ks::store_failure::conflict});
    REQUIRE(r.commands_of<store_write_record>().size() == 2);
    CHECK(r.commands_of<store_write_record>()[1].replaced == 0u);
    r.advance(milliseconds{1'600});
    r.feed(store_listed{ks::store_kind::instances,
        {{"me", 1, ks::instance_record{"me", "a", "north"}}}, "", 5});
    // It is the only one: it claims the whole retry budget.
    REQUIRE(r.commands_of<store_write_record>().size() == 3);
    auto const claim = r.commands_of<store_write_record>()[2];
    CHECK(claim.record.budget_claim == ks::whole_budget);
    CHECK(claim.replaced == 1u);
    // The record has been removed.
    r.advance(milliseconds{3'100});
    r.feed(store_listed{ks::store_kind::instances, {}, "", 6});
    CHECK(r.commands_of<store_write_record>().size() == 4);
}

TEST_CASE(
    "store: a watch that no longer returns changes is detected by a check")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto const watches = r.commands_of<store_watch>().size();
    r.advance(ks::seconds{6});
    auto const checks = r.commands_of<store_check>();
    REQUIRE(!checks.empty());
    CHECK(checks[0].kind == ks::store_kind::targets);
    // The watch does not return, although a target is draining.
    auto gone = make_registration("s-a", "s", "a");
    gone.draining = true;
    auto e = store_checked{};
    e.kind = checks[0].kind;
    e.since = checks[0].revision;
    e.changes = {{{"s-a", e.since + 5, gone}, false}};
    e.revision = e.since + 5;
    r.feed(e);
    auto const again = r.commands_of<store_watch>();
    REQUIRE(again.size() == watches + 1);
    CHECK(again.back().revision == e.revision);
    CHECK(r.facts<watch_stalled>().size() == 1);
    r.submit("q");
    auto const s = r.take_sent();
    REQUIRE(s.size() == 1);
    CHECK(s[0].target != "s-a");
    // Since the store has changes, the watches of other kinds are checked too.
    CHECK(r.commands_of<store_check>().size() == checks.size() + 2);
}

TEST_CASE("store: a check that returns no changes has no effect")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.advance(ks::seconds{6});
    auto const watches = r.commands_of<store_watch>().size();
    auto const since = r.commands_of<store_check>().at(0).revision;
    r.feed(store_checked{ks::store_kind::targets, since, {}, since, {}});
    // The reply to an older check says nothing about the current watch.
    r.feed(store_checked{ks::store_kind::targets, since - 1,
        {{{"s-a", since, make_registration("s-a", "s", "a")}, false}}, since,
        {}});
    CHECK(r.commands_of<store_watch>().size() == watches);
    CHECK(r.facts<watch_stalled>().empty());
}

TEST_CASE("store: a check without an answer is repeated at once on a new "
          "connection, and logged")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.advance(ks::seconds{6});
    auto const watches = r.commands_of<store_watch>().size();
    auto const since = r.commands_of<store_check>().at(0).revision;
    r.feed(store_checked{
        ks::store_kind::targets, since, {}, 0, ks::store_failure::timeout});
    REQUIRE(r.facts<store_availability_changed>().size() == 1);
    CHECK(r.facts<store_availability_changed>()[0].lost);
    r.advance(milliseconds{300});
    auto const again = r.commands_of<store_watch>();
    REQUIRE(again.size() == watches + 1);
    CHECK(again.back().kind == ks::store_kind::targets);
    CHECK(again.back().revision == since);
}

TEST_CASE("store: a watch is renewed if its check finds that the store has "
          "discarded the changes since its revision")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.advance(ks::seconds{2});
    auto const watches = r.commands_of<store_watch>().size();
    auto const since = r.commands_of<store_check>().at(0).revision;
    r.feed(store_checked{
        ks::store_kind::targets, since, {}, 0, ks::store_failure::missing});
    auto const again = r.commands_of<store_watch>();
    REQUIRE(again.size() == watches + 1);
    CHECK(again.back().kind == ks::store_kind::targets);
    // That is no loss of contact.
    CHECK(r.facts<store_availability_changed>().empty());
}

TEST_CASE("store: the watch of the targets is checked also while another kind "
          "fails")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.feed(store_failed{
        ks::store_kind::configuration, ks::store_failure::timeout});
    r.advance(ks::seconds{6});
    auto const checks = r.commands_of<store_check>();
    REQUIRE(!checks.empty());
    CHECK(checks[0].kind == ks::store_kind::targets);
}

TEST_CASE("store: watches that waited while another kind fell silent are "
          "renewed once the store answers")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    r.feed(store_failed{
        ks::store_kind::configuration, ks::store_failure::timeout});
    r.advance(milliseconds{500});
    auto const before = r.commands_of<store_watch>().size();
    r.feed(store_changed{ks::store_kind::configuration, {}, 1'000});
    auto kinds = std::set<ks::store_kind>{};
    auto const all = r.commands_of<store_watch>();
    for (auto i = before; i < all.size(); ++i)
        kinds.insert(all[i].kind);
    CHECK(kinds.contains(ks::store_kind::targets));
    CHECK(kinds.contains(ks::store_kind::evacuations));
    CHECK(kinds.contains(ks::store_kind::rollouts));
}

TEST_CASE("store: a kind that fails time and again does not renew the watches "
          "of the others each time")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    auto renewals = 0;
    for (auto i = 0; i < 20; ++i)
    {
        r.feed(store_failed{
            ks::store_kind::configuration, ks::store_failure::timeout});
        r.advance(milliseconds{500});
        auto const before = r.commands_of<store_watch>().size();
        r.feed(store_checked{ks::store_kind::targets, 0, {}, 1'000, {}});
        auto const all = r.commands_of<store_watch>();
        for (auto n = before; n < all.size(); ++n)
            renewals += all[n].kind == ks::store_kind::targets ? 1 : 0;
    }
    CHECK(renewals == 1);
}

TEST_CASE("store: a silent watch of the targets is found within half of the "
          "drain time, of other kinds within half of their bounds")
{
    for (auto const drain : {milliseconds{3'000}, milliseconds{8'000}})
    {
        auto r = harness{};
        auto bounds = dispatch_bounds{};
        bounds.drain = drain;
        r.core.reconfigure({}, bounds, r.now);
        r.advance(ks::seconds{30});
        r.feed_lists(config_of(single_route("s")), three_targets("s"));
        // The check is sent after a quarter of the bound, whatever the time at
        // which the watch began to wait, and may take another quarter.
        for (auto i = 0; i < 10; ++i)
        {
            r.advance(milliseconds{137});
            r.feed(store_changed{ks::store_kind::targets, {}, 2'000});
            auto const before = r.commands_of<store_check>().size();
            r.advance(drain / 4 + milliseconds{10});
            auto const all = r.commands_of<store_check>();
            REQUIRE(all.size() > before);
            CHECK(all.back().timeout <= drain / 4);
            r.feed(store_checked{
                ks::store_kind::targets, all.back().revision, {}, 2'000, {}});
        }
    }
}

TEST_CASE(
    "store: until the first request, changes of targets are batched longer")
{
    auto r = harness{};
    auto bounds = dispatch_bounds{};
    bounds.drain = ks::seconds{20};
    r.core.reconfigure({}, bounds, r.now);
    r.advance(milliseconds{100});
    r.feed_lists(config_of(single_route("s")), three_targets("s"));
    notify_change(r, 1'000);
    auto const before = target_watches(r);
    r.advance(milliseconds{4'000});
    CHECK(target_watches(r) == before);
    r.submit("q");
    CHECK(target_watches(r) == before + 1);
    notify_change(r, 1'001);
    r.advance(milliseconds{2'000});
    CHECK(target_watches(r) == before + 2);
}

// Guards against DRAIN: the pause before the first request was too long.
TEST_CASE("store: an instance that had no request yet knows within half of the "
          "drain time that a target drains")
{
    for (auto const drain :
        {milliseconds{3'000}, milliseconds{4'000}, milliseconds{8'000}})
    {
        auto r = harness{};
        auto bounds = dispatch_bounds{};
        bounds.drain = drain;
        r.core.reconfigure({}, bounds, r.now);
        r.advance(milliseconds{100});
        r.feed_lists(config_of(single_route("s")), three_targets("s"));
        notify_change(r, 1'000);
        auto const before = target_watches(r);
        // A target starts to drain here; the next watch returns the change.
        r.advance(drain / 2);
        CHECK(target_watches(r) == before + 1);
        auto t = make_registration("s-a", "s", "a");
        t.draining = true;
        r.feed(store_changed{
            ks::store_kind::targets, {{{"s-a", 1'002, t}, false}}, 1'002});
        r.submit("q");
        auto const s = r.take_sent();
        REQUIRE(s.size() == 1);
        CHECK(s[0].target != "s-a");
    }
}
