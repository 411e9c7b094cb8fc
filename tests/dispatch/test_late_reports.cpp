#include "dispatch/harness.hpp"
#include "platform/store.hpp"

#include <doctest/doctest.h>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::store_kind;

namespace
{

constexpr auto start_ms = std::uint64_t{1'765'080'000'000};

/// A watch's answer: one registration of the target `s-a`, in the encoding of
/// the store.
auto report_of(std::string const& state, std::uint64_t sequence,
    std::uint64_t born_ms, std::uint64_t revision) -> ks::dispatch::event
{
    auto m = ks::http_message{};
    m.status = 200;
    m.body = R"({"events":[{"deleted":false,"object":{"meta":{"name":"s-a",)"
             R"("revision":)" +
             std::to_string(revision) +
             R"(},"spec":{"service":"s","address":"10.0.0.1:80","zone":"a",)"
             R"("version":"v1","slots":3,"warmup_left_ms":0,"state":")" +
             state + R"(","sequence":)" + std::to_string(sequence) +
             R"(,"born":)" + std::to_string(born_ms) + R"(}}}],"at":)" +
             std::to_string(revision) + "}";
    return ks::platform::make_store_dialect().read_watch(
        store_kind::targets, m);
}

/// An instance that knows the target `s-a` from its report 4 and others.
struct reported_target
{
    reported_target()
    {
        r.feed_lists(config_of(single_route("s")), three_targets("s"));
        r.finish_startup();
        r.feed(report_of("ready", 4, start_ms, 100));
        REQUIRE(is_sent_to("s-a"));
    }

    /// True if some of the next requests reach a target.
    auto is_sent_to(std::string const& target) -> bool
    {
        return r.sends_to(target, 60, ks::milliseconds{20});
    }

    harness r;
};

} // namespace

// Guards against DRAIN: the store may execute an older report later.
TEST_CASE("late reports: a target that drains gets no request after an older "
          "report of it")
{
    auto f = reported_target{};
    f.r.feed(report_of("draining", 6, start_ms, 110));
    CHECK(!f.is_sent_to("s-a"));
    f.r.feed(report_of("ready", 5, start_ms, 120));
    CHECK(!f.is_sent_to("s-a"));
    CHECK(f.is_sent_to("s-b"));
}

TEST_CASE("late reports: a target that has started again is used though its "
          "count begins anew")
{
    auto f = reported_target{};
    f.r.feed(report_of("draining", 6, start_ms, 110));
    CHECK(!f.is_sent_to("s-a"));
    f.r.feed(report_of("ready", 1, start_ms + 5'000, 120));
    CHECK(f.is_sent_to("s-a"));
}

TEST_CASE("late reports: a target that is ready again by a newer report is "
          "used")
{
    auto f = reported_target{};
    f.r.feed(report_of("draining", 6, start_ms, 110));
    CHECK(!f.is_sent_to("s-a"));
    f.r.feed(report_of("ready", 7, start_ms, 120));
    CHECK(f.is_sent_to("s-a"));
}
