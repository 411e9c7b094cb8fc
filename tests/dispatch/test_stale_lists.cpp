/// Lists of the store that may be stale: each page shows the store at a moment
/// of its own.
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

auto object(std::string const& name, std::uint64_t revision, bool draining)
    -> ks::stored_object
{
    auto t = make_registration(name, "s", "a");
    t.draining = draining;
    return {name, revision, t};
}

/// An instance that knows everything but the targets.
auto instance_without_targets() -> harness
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    r.feed(store_listed{ks::store_kind::configuration,
        {{"main", 1, config_of(single_route("s"))}}, "", 1});
    return r;
}

auto watch_of_targets(harness const& r) -> store_watch
{
    auto found = store_watch{};
    for (auto const& it : r.commands_of<store_watch>())
        if (it.kind == ks::store_kind::targets)
            found = it;
    return found;
}

/// The registrations of a store at each of its revisions.
class history
{
public:
    auto write(std::string const& name, bool draining) -> void
    {
        changes_.push_back({object(name, ++newest_, draining), false});
    }

    auto remove(std::string const& name) -> void
    {
        changes_.push_back({object(name, ++newest_, false), true});
    }

    auto newest() const -> std::uint64_t { return newest_; }

    auto at(std::uint64_t revision) const
        -> std::map<std::string, ks::stored_object>
    {
        auto all = std::map<std::string, ks::stored_object>{};
        for (auto const& it : changes_)
        {
            if (it.object.revision > revision)
                break;
            all.erase(it.object.name);
            if (!it.deleted)
                all.emplace(it.object.name, it.object);
        }
        return all;
    }

    auto after(std::uint64_t revision) const -> std::vector<ks::stored_change>
    {
        auto out = std::vector<ks::stored_change>{};
        for (auto const& it : changes_)
            if (it.object.revision > revision)
                out.push_back(it);
        return out;
    }

private:
    std::vector<ks::stored_change> changes_;
    std::uint64_t newest_ = 10;
};

auto page_of(history const& h, std::uint64_t revision, std::string const& after)
    -> store_listed
{
    constexpr auto page_size = std::size_t{3};
    auto page = store_listed{ks::store_kind::targets, {}, "", revision};
    auto const all = h.at(revision);
    for (auto it = all.upper_bound(after); it != all.end(); ++it)
    {
        if (page.objects.size() == page_size)
        {
            page.next = page.objects.back().name;
            break;
        }
        page.objects.push_back(it->second);
    }
    return page;
}

auto random_history() -> history
{
    auto h = history{};
    auto const n = *rc::gen::inRange(1, 60);
    for (auto i = 0; i < n; ++i)
    {
        auto const name = "t" + std::to_string(*rc::gen::inRange(0, 12));
        auto const what = *rc::gen::inRange(0, 4);
        if (what == 0)
            h.remove(name);
        else
            h.write(name, what == 1);
    }
    return h;
}

/// Names of the targets that get some of many requests.
auto targets_in_use(harness& r) -> std::set<std::string>
{
    auto used = std::set<std::string>{};
    for (auto i = 0; i < 100; ++i)
    {
        r.submit("q" + std::to_string(i));
        for (auto const& it : r.take_sent())
        {
            used.insert(it.target);
            r.succeed(it);
        }
        r.advance(milliseconds{5});
    }
    return used;
}

} // namespace

// Guards against DRAIN: what changed between two pages was never learned.
TEST_CASE("store: a target that drains between the revisions of two pages of a "
          "stale list is not used on")
{
    for (auto const older_first : {false, true})
    {
        auto r = instance_without_targets();
        auto const [first, second] =
            older_first ? std::pair{90u, 100u} : std::pair{100u, 90u};
        r.feed(store_listed{
            ks::store_kind::targets, {object("a", 20, false)}, "a", first});
        r.feed(store_listed{
            ks::store_kind::targets, {object("b", 21, false)}, "", second});
        auto const watch = watch_of_targets(r);
        CHECK(watch.revision == 90);
        auto const drained = older_first ? "a" : "b";
        r.feed(store_changed{ks::store_kind::targets,
            {{object(drained, 95, true), false}}, 101});
        CHECK(!targets_in_use(r).contains(drained));
    }
}

TEST_CASE(
    "store: whatever the ages of a list's pages, the watch after it makes "
    "the knowledge of all targets complete")
{
    CHECK(rc::check("ages of pages",
        []
        {
            auto const h = random_history();
            auto r = instance_without_targets();
            auto after = std::string{};
            auto lists = std::size_t{0};
            while (watch_of_targets(r).revision == 0)
            {
                auto const all = r.commands_of<store_list>();
                auto last = store_list{};
                for (auto const& it : all)
                    if (it.kind == ks::store_kind::targets)
                        last = it;
                RC_ASSERT(++lists < 20u);
                r.feed(page_of(h,
                    *rc::gen::inRange<std::uint64_t>(1, h.newest() + 1),
                    last.after));
            }
            r.feed(store_changed{ks::store_kind::targets,
                h.after(watch_of_targets(r).revision), h.newest()});
            auto ready = std::set<std::string>{};
            for (auto const& [name, it] : h.at(h.newest()))
                if (!std::get<ks::target_registration>(it.value).draining)
                    ready.insert(name);
            auto const used = targets_in_use(r);
            for (auto const& it : used)
                RC_ASSERT(ready.contains(it));
            RC_ASSERT(used.empty() == ready.empty());
            RC_ASSERT(r.core.gauges().targets == h.at(h.newest()).size());
        }));
}

TEST_CASE("store: an instance that a stale list does not hold yet stays known")
{
    auto r = harness{};
    r.advance(ks::seconds{30});
    auto const record = [](std::string const& name, std::uint64_t revision)
    {
        return ks::stored_object{
            name, revision, ks::instance_record{name, "a", "north"}};
    };
    r.feed(store_listed{ks::store_kind::instances, {record("me", 20)}, "", 50});
    r.advance(ks::seconds{2});
    r.feed(store_listed{ks::store_kind::instances,
        {record("i1", 60), record("me", 20)}, "", 70});
    REQUIRE(r.core.gauges().instances == 2);
    r.advance(ks::seconds{4});
    r.feed(store_listed{ks::store_kind::instances, {record("me", 20)}, "", 55});
    CHECK(r.core.gauges().instances == 2);
    r.advance(ks::seconds{7});
    r.feed(store_listed{ks::store_kind::instances, {record("me", 20)}, "", 80});
    CHECK(r.core.gauges().instances == 1);
}
