/// Lists of the store that do not go on: an entry of another writer has no
/// usable name, or the store answers with a page again.
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::store_kind;

namespace
{

auto target(std::string const& name) -> ks::stored_object
{
    return {name, 5, make_registration(name, "s", "a")};
}

/// An instance that has just started and knows everything but the targets.
auto instance_without_targets() -> harness
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed(store_listed{store_kind::configuration,
        {{"main", 1, config_of(single_route("s"))}}, "", 9});
    r.submit("first"); // Callers are served: targets are in demand.
    return r;
}

auto lists_of_targets(harness const& r) -> std::vector<store_list>
{
    auto all = r.commands_of<store_list>();
    std::erase_if(all,
        [](store_list const& it) { return it.kind != store_kind::targets; });
    return all;
}

auto is_ready(harness const& r) -> bool
{
    auto const all = r.commands_of<set_ready>();
    return !all.empty() && all.back().ready;
}

/// Sends requests, some at a time.
///
/// @param[out] used Names of the targets that got one.
/// @returns Number of requests that a target has answered.
auto served(harness& r, std::set<std::string>& used) -> int
{
    auto callers = std::vector<ks::caller_id>{};
    for (auto i = 0; i < 20; ++i)
    {
        for (auto k = 0; k < 3; ++k)
            callers.push_back(
                r.submit("q" + std::to_string(i) + "-" + std::to_string(k)));
        for (auto const& it : r.take_sent())
        {
            used.insert(it.target);
            r.succeed(it);
        }
        r.advance(milliseconds{5});
    }
    return static_cast<int>(std::count_if(callers.begin(), callers.end(),
        [&](ks::caller_id it)
        {
            auto const a = r.answer_to(it);
            return a && std::holds_alternative<ks::answer_relayed>(a->answer);
        }));
}

/// Pages after the first one that do not go on.
auto pages_without_next() -> std::vector<store_listed>
{
    auto const unnamed =
        ks::stored_object{"", 0, ks::unreadable_object{"no name"}};
    return {{store_kind::targets, {target("b")}, "a", 9},
        {store_kind::targets, {target("a"), target("b")}, "a", 9},
        {store_kind::targets, {target("b"), unnamed}, "", 9, true},
        {store_kind::targets, {target("b")}, "", 9, true}};
}

} // namespace

// Guards against RECOVER: an instance that started listed in a circle.
TEST_CASE(
    "store: a list that does not go on hides none of what it has held, and "
    "is read again only after a pause")
{
    for (auto const& page : pages_without_next())
    {
        auto r = instance_without_targets();
        r.feed(store_listed{store_kind::targets, {target("a")}, "a", 9});
        r.feed(page);
        auto const lists = lists_of_targets(r).size();
        CHECK(is_ready(r));
        auto used = std::set<std::string>{};
        CHECK(served(r, used) == 60);
        CHECK(used == std::set<std::string>{"a", "b"});
        r.advance(milliseconds{1'800});
        CHECK(lists_of_targets(r).size() == lists);
        r.advance(milliseconds{400});
        REQUIRE(lists_of_targets(r).size() == lists + 1);
        CHECK(lists_of_targets(r).back().after.empty());
        CHECK(!lists_of_targets(r).back().may_be_stale);
    }
}

TEST_CASE("store: after a list that did not go on, a whole one holds as usual")
{
    auto r = instance_without_targets();
    r.feed(store_listed{store_kind::targets, {target("a")}, "a", 9});
    r.feed(store_listed{store_kind::targets, {target("b")}, "a", 9});
    CHECK(r.core.gauges().targets == 2);
    r.advance(milliseconds{2'200});
    r.feed(store_listed{store_kind::targets, {target("b")}, "", 12});
    CHECK(is_ready(r));
    CHECK(r.core.gauges().targets == 1);
    auto const watches = r.commands_of<store_watch>();
    REQUIRE(!watches.empty());
    CHECK(watches.back().kind == store_kind::targets);
    CHECK(watches.back().revision == 12);
}

TEST_CASE("store: a list that does not go on takes nothing back")
{
    auto r = instance_without_targets();
    r.feed(store_listed{
        store_kind::targets, {target("a"), target("b"), target("c")}, "", 9});
    r.feed(store_compacted{store_kind::targets});
    r.feed(store_listed{store_kind::targets, {target("a")}, "a", 9});
    r.feed(store_listed{store_kind::targets, {}, "", 9, true});
    CHECK(r.core.gauges().targets == 3);
    CHECK(is_ready(r));
}

TEST_CASE(
    "store: an instance records itself although the list of instances does "
    "not go on")
{
    auto r = instance_without_targets();
    auto const before = r.commands_of<store_write_record>().size();
    r.feed(store_listed{store_kind::instances, {}, "", 9, true});
    CHECK(r.commands_of<store_write_record>().size() == before + 1);
}

// Guards against calls beyond the store's rate: a list without a pause per 410.
TEST_CASE("an instance whose watches always find their history discarded "
          "lists at a limited rate")
{
    constexpr auto answer_time = milliseconds{4};
    constexpr auto span = ks::seconds{10};
    constexpr auto reads_per_s = 2'000; // Of the store, for all instances.
    constexpr auto instances = 437;
    auto r = instance_without_targets();
    auto next = std::size_t{0};
    auto const answer = [&](command const& c)
    {
        auto const* list = std::get_if<store_list>(&c);
        auto const* watch = std::get_if<store_watch>(&c);
        if (list != nullptr && list->kind == store_kind::targets)
            r.feed(store_listed{store_kind::targets, {target("a")}, "", 9});
        if (watch != nullptr && watch->kind == store_kind::targets)
            r.feed(store_compacted{store_kind::targets});
    };
    auto const before = lists_of_targets(r).size();
    for (auto const end = r.now + ks::duration{span}; r.now < end;
         r.advance(answer_time))
        for (auto const stop = r.all_commands.size(); next < stop; ++next)
            answer(command{r.all_commands[next]});
    CHECK(lists_of_targets(r).size() - before <=
          span.count() * reads_per_s / instances);
}
