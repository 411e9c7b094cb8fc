/// Targets whose registrations the store has in an earlier state after it came
/// back from an older copy.
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::store_kind;

namespace
{

constexpr auto restored_era = std::uint64_t{2};
/// Time in which a target writes its registration again.
constexpr auto before_settled = milliseconds{500};

auto registered(std::string const& name, std::uint64_t revision,
    bool draining = false) -> ks::stored_object
{
    auto t = make_registration(name, "s", name.substr(2));
    t.started_ms = 5;
    t.draining = draining;
    return {name, revision, t};
}

/// An instance that knows the targets `s-a` and `s-b` from an era.
struct instance_with_targets
{
    instance_with_targets()
    {
        r.advance(ks::seconds{30});
        r.feed(store_listed{store_kind::configuration,
            {{"main", 90, config_of(single_route("s"), 5)}}, "", 100, false,
            restored_era - 1});
        list({registered("s-a", 91), registered("s-b", 92)}, 100,
            restored_era - 1);
    }

    auto list(std::vector<ks::stored_object> const& all, std::uint64_t revision,
        std::uint64_t era) -> void
    {
        r.feed(
            store_listed{store_kind::targets, all, "", revision, false, era});
    }

    auto change(ks::stored_object const& o, bool deleted, std::uint64_t era)
        -> void
    {
        r.feed(store_changed{
            store_kind::targets, {{o, deleted}}, o.revision, era});
        // Ends the pause before the next watch.
        r.advance(milliseconds{2'500});
    }

    /// The store comes back from a copy in which both targets are ready.
    auto restore() -> void
    {
        r.feed(store_compacted{store_kind::targets, restored_era});
        list({registered("s-a", 51), registered("s-b", 52)}, 60, restored_era);
    }

    /// True if some of the next requests reach a target.
    auto is_sent_to(std::string const& target) -> bool
    {
        return r.sends_to(target, 40, before_settled / 40);
    }

    harness r;
};

} // namespace

TEST_CASE("restored targets: one that drained gets no request although the "
          "store's copy has it as ready")
{
    auto f = instance_with_targets{};
    REQUIRE(f.is_sent_to("s-a"));
    f.change(registered("s-a", 101, true), false, restored_era - 1);
    f.restore();
    CHECK(!f.is_sent_to("s-a"));
    CHECK(f.is_sent_to("s-b"));
}

TEST_CASE("restored targets: one that drained gets no request although its "
          "earlier state is read twice")
{
    auto f = instance_with_targets{};
    f.change(registered("s-a", 101, true), false, restored_era - 1);
    f.restore();
    f.r.feed(store_compacted{store_kind::targets, restored_era});
    f.list({registered("s-a", 51), registered("s-b", 52)}, 61, restored_era);
    CHECK(!f.is_sent_to("s-a"));
}

TEST_CASE("restored targets: one that drained and has left gets no request "
          "although the store's copy has it as ready")
{
    auto f = instance_with_targets{};
    f.change(registered("s-a", 101, true), false, restored_era - 1);
    f.change(registered("s-a", 102, true), true, restored_era - 1);
    f.restore();
    CHECK(!f.is_sent_to("s-a"));
    CHECK(f.is_sent_to("s-b"));
}

TEST_CASE("restored targets: one that has left without draining gets no "
          "request although the store's copy has it")
{
    auto f = instance_with_targets{};
    f.change(registered("s-a", 101), true, restored_era - 1);
    f.restore();
    CHECK(!f.is_sent_to("s-a"));
    CHECK(f.is_sent_to("s-b"));
}

TEST_CASE("restored targets: one that starts again under its name is used")
{
    auto f = instance_with_targets{};
    f.change(registered("s-a", 101, true), false, restored_era - 1);
    f.change(registered("s-a", 102, true), true, restored_era - 1);
    f.restore();
    auto again = registered("s-a", 61);
    std::get<ks::target_registration>(again.value).started_ms = 6;
    f.change(again, false, restored_era);
    CHECK(f.is_sent_to("s-a"));
}
