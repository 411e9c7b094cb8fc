#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::seconds;
using ks::store_kind;

namespace
{

constexpr auto restored_era = std::uint64_t{2};

/// Targets `s-a`, `s-b`, `s-c`; with the first revision given.
auto listed_targets(std::uint64_t revision) -> std::vector<ks::stored_object>
{
    auto out = std::vector<ks::stored_object>{};
    for (auto const& it : three_targets("s"))
        out.push_back({it.name, revision++, it});
    return out;
}

auto draining(std::string const& name, std::uint64_t revision)
    -> ks::stored_change
{
    auto t = make_registration(name, "s", name.substr(2));
    t.draining = true;
    return {{name, revision, t}, false};
}

/// An instance that has known three targets and a configuration from high
/// revisions. The store comes back from an older copy.
struct restored_store
{
    restored_store()
    {
        r.advance(ks::seconds{30});
        r.feed(store_listed{store_kind::configuration,
            {{"main", 90, config_of(single_route("s"), 5)}}, "", 100, false,
            restored_era - 1});
        r.feed(store_listed{store_kind::targets, listed_targets(91), "", 100,
            false, restored_era - 1});
        for (auto const kind : {store_kind::evacuations, store_kind::rollouts,
                 store_kind::instances, store_kind::reports})
            r.feed(store_listed{kind, {}, "", 100, false, restored_era - 1});
        REQUIRE(is_sent_to("s-a"));
    }

    auto list_targets(std::uint64_t revision) -> void
    {
        r.feed(store_listed{store_kind::targets, listed_targets(50), "",
            revision, false, restored_era});
    }

    auto list_config(std::uint64_t version, std::uint64_t revision) -> void
    {
        r.feed(store_listed{store_kind::configuration,
            {{"main", revision, config_of(single_route("s"), version)}}, "",
            revision, false, restored_era});
    }

    /// True if some of the next requests reach a target.
    auto is_sent_to(std::string const& target) -> bool
    {
        return r.sends_to(target, 60, ks::milliseconds{20});
    }

    auto config_version() const -> std::uint64_t
    {
        return r.core.gauges().config_version;
    }

    harness r;
};

} // namespace

TEST_CASE("eras: a target that drains after the store came back from an older "
          "copy gets no request")
{
    auto f = restored_store{};
    f.r.feed(store_compacted{store_kind::targets, restored_era});
    f.list_targets(60);
    CHECK(f.is_sent_to("s-a"));
    f.r.feed(store_changed{
        store_kind::targets, {draining("s-a", 61)}, 61, restored_era});
    CHECK(!f.is_sent_to("s-a"));
    CHECK((f.is_sent_to("s-b") || f.is_sent_to("s-c")));
}

TEST_CASE("eras: a configuration written after the store came back from an "
          "older copy is applied")
{
    auto f = restored_store{};
    f.r.feed(store_compacted{store_kind::configuration, restored_era});
    f.list_config(4, 50);
    CHECK(f.config_version() == 5); // The older one is not taken up.
    for (auto const version : {5, 6})
        f.r.feed(store_changed{store_kind::configuration,
            {{{"main", 55u + version, config_of(single_route("s"), version)},
                false}},
            55u + version, restored_era});
    CHECK(f.config_version() == 6);
}

TEST_CASE("eras: a kind is listed again though the store has passed the "
          "revision known of it")
{
    auto f = restored_store{};
    auto const before = f.r.commands_of<store_list>().size();
    f.r.feed(store_changed{store_kind::targets, {}, 130, restored_era});
    f.r.advance(ks::milliseconds{100});
    auto const lists = f.r.commands_of<store_list>();
    CHECK(std::any_of(lists.begin() + static_cast<std::ptrdiff_t>(before),
        lists.end(),
        [](store_list const& it)
        { return it.kind == store_kind::targets && !it.may_be_stale; }));
}
