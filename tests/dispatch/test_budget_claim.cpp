#include "core/dispatch/budget_claim.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::seconds;

TEST_CASE("budget sums: a claim that is no longer listed counts for a while")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const quarter = ks::whole_budget / 4;
    auto others = std::vector<ks::instance_record>{};
    for (auto const* name : {"a", "b", "c"})
        others.push_back({name, "z", "r", "", quarter});
    auto const own = stored_claim{quarter, {0, 1}};
    auto const listed = [&](std::size_t n, ks::time_point at)
    {
        return claim_list{{others.data(), n}, own, 0, at, true};
    };
    auto c = with_list({}, listed(3, t), window, t);
    c = with_list(c, listed(3, t + seconds{1}), window, t + seconds{1});
    CHECK(c.claimed == quarter);
    CHECK(usable_claim(c, t + seconds{10}) == 0);
    CHECK(usable_claim(c, t + seconds{11}) == quarter);
    // Two are gone: what they claimed is free after the hold.
    c = with_list(c, listed(1, t + seconds{30}), window, t + seconds{30});
    c = with_list(c, listed(1, t + seconds{60}), window, t + seconds{60});
    c = with_list(c, listed(1, t + seconds{79}), window, t + seconds{79});
    CHECK(claimants(c) == 4);
    CHECK(c.claimed == quarter);
    c = with_list(c, listed(1, t + seconds{80}), window, t + seconds{80});
    CHECK(claimants(c) == 2);
    CHECK(c.claimed == 2 * quarter);
    // It is not used until the store is known to hold it, and for a window.
    auto const more = stored_claim{2 * quarter, {0, 2}};
    c = with_stored(c, more, t + seconds{81});
    CHECK(usable_claim(c, t + seconds{82}) == quarter);
    auto const last =
        claim_list{{others.data(), 1}, more, 0, t + seconds{82}, true};
    c = with_list(c, last, window, t + seconds{82});
    CHECK(usable_claim(c, t + seconds{91}) == quarter);
    CHECK(usable_claim(c, t + seconds{92}) == 2 * quarter);
    // Without a list it is used no longer than for the lease.
    CHECK(usable_claim(c, t + seconds{121}) == 2 * quarter);
    CHECK(usable_claim(c, t + seconds{122}) == 0);
}

TEST_CASE("budget sums: a claim that the store has lost is not taken by others "
          "while its owner may use it")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const half = ks::whole_budget / 2;
    auto others = std::vector<ks::instance_record>{{"a", "z", "r", "", half}};
    auto own = stored_claim{half, {1, 1}};
    auto c = budget_claim{};
    auto const read = [&](int at, std::uint64_t era, bool listed)
    {
        auto const now = t + seconds{at};
        auto const record = listed ? std::optional{own} : std::nullopt;
        c = with_list(c, {others, record, era, now, true}, window, now);
        return usable_claim(c, now);
    };
    read(0, 1, true);
    read(1, 1, true);
    CHECK(read(12, 1, true) == half);
    // An older copy of the store: a's claim is smaller, the own one is missing.
    others[0].budget_claim = 0;
    CHECK(read(20, 2, false) == half);
    CHECK(c.claimed == half);
    own = {half, {2, 1}};
    c = with_stored(c, own, t + seconds{21});
    CHECK(read(22, 2, true) == half);
    CHECK(c.claimed == half);
    // The lease has expired without a list; the next list must confirm it.
    CHECK(usable_claim(c, t + seconds{62}) == 0);
    CHECK(read(63, 2, true) == 0);
    CHECK(usable_claim(c, t + seconds{72}) == 0);
    CHECK(usable_claim(c, t + seconds{73}) == half);
    // a has not written its claim again.
    CHECK(claimants(c) == 2);
    read(74, 2, true);
    CHECK(c.claimed == half);
}

TEST_CASE("budget sums: a process that starts in a fleet claims at once")
{
    auto const t = ks::time_point{seconds{100}};
    auto const window = ks::duration{seconds{10}};
    auto const third = ks::whole_budget / 3;
    auto const others = std::vector<ks::instance_record>{
        {"a", "z", "r", "", third}, {"b", "z", "r", "", third}};
    auto c = with_list({}, {others, std::nullopt, 0, t, false}, window, t);
    CHECK(c.claimed == third);
    CHECK(usable_claim(c, t + seconds{30}) == 0);
    // Of a fleet that starts the first list may hold few.
    c = with_list({}, {{}, std::nullopt, 0, t, false}, window, t);
    CHECK(c.claimed == 0);
}

TEST_CASE("budget sums: of two claims that are too large the later list knows")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const most = ks::whole_budget * 3 / 4;
    auto const list_of = [&](char const* other, std::uint32_t claim,
                             std::vector<ks::instance_record>& all, int at)
    {
        all = {{other, "z", "r", "", claim}};
        return claim_list{
            all, stored_claim{most, {0, 1}}, 0, t + seconds{at}, true};
    };
    auto all = std::vector<ks::instance_record>{};
    auto a = with_list({}, list_of("b", 0, all, 0), window, t);
    auto b = with_list({}, list_of("a", most, all, 0), window, t);
    a = with_list(a, list_of("b", 0, all, 1), window, t + seconds{1});
    b = with_list(b, list_of("a", most, all, 2), window, t + seconds{2});
    auto const sum =
        usable_claim(a, t + seconds{20}) + usable_claim(b, t + seconds{20});
    CHECK(sum <= ks::whole_budget);
    CHECK(usable_claim(b, t + seconds{20}) == ks::whole_budget - most);
}

TEST_CASE("budget sums: a claim is lowered at once, and a listed one counts")
{
    auto const window = ks::duration{seconds{10}};
    auto const t = ks::time_point{seconds{100}};
    auto const half = ks::whole_budget / 2;
    auto others = std::vector<ks::instance_record>{{"a", "z", "r", "", half}};
    auto const own = stored_claim{half, {0, 1}};
    auto c = budget_claim{};
    auto const read = [&](int at, std::size_t n)
    {
        auto const now = t + seconds{at};
        c = with_list(c, {{others.data(), n}, own, 0, now, true}, window, now);
    };
    read(0, 1);
    read(1, 1);
    CHECK(usable_claim(c, t + seconds{11}) == half);
    // A longer list counts at once.
    others.push_back({"b", "z", "r", "", 0});
    read(12, 2);
    CHECK(claimants(c) == 3);
    CHECK(c.claimed == ks::whole_budget / 3);
    CHECK(usable_claim(c, t + seconds{12}) <= ks::whole_budget / 3);
    // A list that holds all of them again ends the wait.
    read(13, 1);
    read(30, 2);
    read(31, 1);
    read(80, 1);
    CHECK(claimants(c) == 3);
    read(81, 1);
    CHECK(claimants(c) == 2);
}
