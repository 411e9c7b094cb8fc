#include "dispatch/harness.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;

namespace
{

/// An instance with one target and one route that has got a stop request.
auto stopping_instance(ks::route const& r) -> harness
{
    auto h = harness{};
    h.finish_startup();
    h.feed_lists(config_of(r), {make_registration("s-a", "s", "a")});
    h.feed(stop_requested{});
    return h;
}

} // namespace

TEST_CASE("stop: an at-most-once request that may not end within the grace is "
          "refused before it is sent")
{
    auto r = with_at_most_once(single_route("s"));
    r.timeout = milliseconds{3'000};
    auto h = stopping_instance(r);
    auto const last = dispatch_bounds{}.grace - milliseconds{1'000};
    for (auto at = milliseconds{0}; at < last; at += milliseconds{100})
    {
        auto const c = h.submit(
            "q" + std::to_string(at.count()), "/p/x", milliseconds{3'000});
        auto const sent = h.take_sent();
        auto const left = dispatch_bounds{}.grace - at;
        CAPTURE(at.count());
        if (sent.empty())
            CHECK(is<ks::answer_refused>(h.answer_to(c)->answer));
        else
        {
            // It keeps the whole time that its caller allows.
            CHECK(left >= milliseconds{3'000});
            CHECK(sent[0].time_left >= milliseconds{2'900});
            h.succeed(sent[0]);
        }
        h.advance(milliseconds{100});
    }
}

TEST_CASE("stop: requests with enough time, and idempotent ones, are served "
          "until shortly before the exit")
{
    auto h = stopping_instance(with_at_most_once(single_route("s")));
    h.advance(milliseconds{1'000});
    auto const c = h.submit("q1", "/p/x", milliseconds{800});
    auto const sent = h.take_sent();
    REQUIRE(sent.size() == 1);
    h.succeed(sent[0]);
    CHECK(!is<ks::answer_refused>(h.answer_to(c)->answer));

    auto other = stopping_instance(single_route("s"));
    other.advance(milliseconds{3'200});
    other.submit("q2", "/p/x", milliseconds{3'000});
    CHECK(other.take_sent().size() == 1);
}
