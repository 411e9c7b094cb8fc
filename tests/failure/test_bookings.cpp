/// Guarantees for bookings, each under the failure that it covers.
#include "../fakes.hpp"

#include <doctest/doctest.h>

using namespace fakes;

namespace
{

auto runs_of(world const& w, std::string const& key) -> int
{
    auto n = 0;
    for (auto const& [address, l] : w.leafs)
    {
        auto const it = l.booking_runs.find(key);
        n += it == l.booking_runs.end() ? 0 : it->second;
    }
    return n;
}

template <class T>
auto has_answer(outcome const& o) -> bool
{
    return o.count == 1 && o.booking && std::holds_alternative<T>(*o.booking);
}

} // namespace

TEST_CASE("a booking runs once, and a retry gets the same outcome")
{
    auto w = standard_world(20);
    auto const a = w->book(0, "voorraad", "k");
    w->run_for(milliseconds{300});
    auto const b = w->book(1, "voorraad", "k");
    w->run_for(milliseconds{300});
    CHECK(has_answer<booking_done>(w->callers[a]));
    CHECK(has_answer<booking_done>(w->callers[b]));
    CHECK(w->callers[a].booking == w->callers[b].booking);
    CHECK(runs_of(*w, "k") == 1);
}

TEST_CASE("the same booking sent through all instances at once runs once")
{
    auto w = standard_world(21);
    auto ids = std::vector<std::uint64_t>{};
    for (std::size_t i = 0; i < 9; ++i)
        ids.push_back(w->book(i % 3, "voorraad", "k"));
    w->run_for(milliseconds{500});
    for (auto const id : ids)
        CHECK(has_answer<booking_done>(w->callers[id]));
    CHECK(runs_of(*w, "k") == 1);
}

TEST_CASE("a platform outage refuses bookings as not run, and they do not run")
{
    auto w = standard_world(22);
    w->platform.down = true;
    auto const a = w->book(0, "voorraad", "k");
    w->run_for(milliseconds{400});
    CHECK(has_answer<booking_not_run>(w->callers[a]));
    CHECK(runs_of(*w, "k") == 0);
    w->platform.down = false;
    w->run_for(milliseconds{400});
    CHECK(runs_of(*w, "k") == 0);
    auto const b = w->book(0, "voorraad", "k");
    w->run_for(milliseconds{400});
    CHECK(has_answer<booking_done>(w->callers[b]));
    CHECK(runs_of(*w, "k") == 1);
}

TEST_CASE("a platform outage refuses bookings before their deadline although "
          "the executor's answer is slow")
{
    auto w = standard_world(23);
    w->platform.down = true;
    w->peer_delay = us{20'000};
    auto ids = std::vector<std::uint64_t>{};
    for (std::size_t i = 0; i < 3; ++i)
        ids.push_back(w->book(i, "voorraad", "k"));
    w->run_for(milliseconds{500});
    for (auto const id : ids)
        CHECK(has_answer<booking_not_run>(w->callers[id]));
    CHECK(runs_of(*w, "k") == 0);
}

TEST_CASE("a claim is found and used although the answer to its write was lost")
{
    auto w = standard_world(23);
    w->platform.lose_answers = 1;
    auto const a = w->book(0, "voorraad", "k", milliseconds{600});
    w->run_for(milliseconds{700});
    CHECK(has_answer<booking_done>(w->callers[a]));
    CHECK(runs_of(*w, "k") == 1);
}

TEST_CASE("a booking that ran without an answer is unknown and never run again")
{
    auto w = standard_world(24);
    for (auto& [address, l] : w->leafs)
        l.drop_booking_replies = true;
    auto const a = w->book(0, "voorraad", "k");
    w->run_for(milliseconds{400});
    CHECK(has_answer<booking_unknown>(w->callers[a]));
    for (auto i = 0; i < 6; ++i)
    {
        auto const b = w->book(i % 3, "voorraad", "k");
        w->run_for(milliseconds{500});
        CHECK(has_answer<booking_unknown>(w->callers[b]));
    }
    CHECK(runs_of(*w, "k") == 1);
}

TEST_CASE(
    "a booking shed by all targets is refused as not run and does not run")
{
    auto w = standard_world(25);
    for (auto& [address, l] : w->leafs)
        l.shedding = true;
    auto const a = w->book(0, "voorraad", "k");
    w->run_for(milliseconds{400});
    CHECK(has_answer<booking_not_run>(w->callers[a]));
    for (auto& [address, l] : w->leafs)
        l.shedding = false;
    w->run_for(seconds{3});
    CHECK(runs_of(*w, "k") == 0);
    auto const b = w->book(1, "voorraad", "k", milliseconds{1'000});
    w->run_for(milliseconds{1'200});
    CHECK(has_answer<booking_done>(w->callers[b]));
    CHECK(runs_of(*w, "k") == 1);
}

TEST_CASE("an idempotency key reused with other content is refused")
{
    auto w = standard_world(26);
    w->book(0, "voorraad", "k");
    w->run_for(milliseconds{300});
    auto const id = w->book_text(1, "voorraad", "k", "other");
    w->run_for(milliseconds{300});
    REQUIRE(has_answer<booking_not_run>(w->callers[id]));
    auto const& o = std::get<booking_not_run>(*w->callers[id].booking);
    CHECK(std::holds_alternative<key_reused>(o.reason));
}

TEST_CASE("waiting claims are written in batches")
{
    auto w = standard_world(27, 1);
    auto const before = w->platform.writes;
    auto ids = std::vector<std::uint64_t>{};
    for (auto n = 0; n < 60; ++n)
        ids.push_back(w->book(
            n % 3, "voorraad", "k" + std::to_string(n), milliseconds{2'000}));
    w->run_for(seconds{3});
    for (auto const id : ids)
        CHECK(has_answer<booking_done>(w->callers[id]));
    CHECK(w->platform.writes - before < 60);
}
