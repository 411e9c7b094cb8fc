/// What an instance passes on of objects that were deleted before it knew them.
#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::store_kind;

namespace
{

constexpr auto era = std::uint64_t{2};

/// An instance that may be asked and has listed all kinds at a revision.
auto relay_at(std::uint64_t revision) -> harness
{
    auto init = dispatcher_init{};
    init.regions = {{"a", "north"}};
    init.self = {"me", "a", "north", "10.0.0.1:1"};
    auto r = harness{init};
    for (auto const kind : ks::store_kinds)
        r.feed(store_listed{kind, {}, "", revision, false, era});
    return r;
}

/// The answer to an instance that knows the targets up to a revision.
auto update_for(harness& r, std::uint64_t revision) -> relay_update
{
    r.feed(relay_asked{relay_caller_id{1},
        {"other", {{store_kind::targets, {era, revision}}}, milliseconds{0}}});
    auto const answers = r.commands_of<answer_relay>();
    REQUIRE(answers.size() == 1);
    REQUIRE(answers.back().reply.updates.size() == 1);
    return answers.back().reply.updates.back();
}

} // namespace

TEST_CASE("relays: an instance that knows less than a relay's list gets all of "
          "it, as the relay knows no deletions before it")
{
    auto r = relay_at(60);
    CHECK(update_for(r, 50).complete);
}

TEST_CASE("relays: an instance that knows a relay's list gets the changes "
          "after it")
{
    auto r = relay_at(60);
    r.feed(store_changed{store_kind::targets,
        {{{"t", 61, make_registration("t", "s", "a")}, false}}, 61, era});
    auto const u = update_for(r, 60);
    CHECK(!u.complete);
    CHECK(u.changes.size() == 1);
}

TEST_CASE("relays: an instance gets all of a list that its relay had to read "
          "again")
{
    auto r = relay_at(60);
    r.feed(store_compacted{store_kind::targets, era});
    r.feed(store_listed{store_kind::targets, {}, "", 90, false, era});
    CHECK(update_for(r, 70).complete);
}
