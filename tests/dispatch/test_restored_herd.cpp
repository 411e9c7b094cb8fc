/// Calls of a whole fleet after the store came back from an older copy.
#include "dispatch/fleet_drill.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::seconds;

namespace
{

constexpr auto away = milliseconds{700};
constexpr auto counted_for = seconds{10};
/// Age of a copy in which no instance had written its record yet.
constexpr auto old_copy = ks::duration{seconds{22}};

/// Calls of a fleet after the store's return.
struct return_calls
{
    double calls = 0; ///< One that may be stale counts a tenth.
    std::size_t writes = 0;
    std::size_t most_reads = 0; ///< In any second, without stale ones.
    std::size_t most_writes = 0;
};

/// Greatest increase of a count within a second.
class rate_meter
{
public:
    auto add(ks::time_point now, std::size_t count) -> void
    {
        counts_.emplace_back(now, count);
        while (now - counts_.front().first > seconds{1})
            counts_.pop_front();
        most = std::max(most, count - counts_.front().second);
    }

    std::size_t most = 0;

private:
    std::deque<std::pair<ks::time_point, std::size_t>> counts_;
};

/// @param[in] lost Age of the copy that the store comes back from; 0: it has
///     lost nothing.
auto calls_after_return(std::size_t instances, ks::duration lost)
    -> return_calls
{
    auto f = store_fleet{drill_setup(instances)};
    f.run(seconds{20});
    for (auto i = 0; i < 4; ++i)
    {
        f.change_target();
        f.run(milliseconds{500});
    }
    if (lost == ks::duration{0})
        f.leave(away, outage::broken);
    else
        f.restore(lost, away, outage::broken);
    f.run(away);
    auto const calls = f.calls;
    auto const written = f.writes;
    auto reads = rate_meter{};
    auto writes = rate_meter{};
    f.run(counted_for,
        [&]
        {
            reads.add(f.now, f.reads);
            writes.add(f.now, f.writes);
        });
    return {f.calls - calls, f.writes - written, reads.most, writes.most};
}

/// The store's rates, which all instances share.
struct rate_limits
{
    std::size_t instances = 0;
    std::size_t writes = 0;
    std::size_t reads = 0;
};

auto print(std::size_t instances, std::string const& what,
    return_calls const& c) -> void
{
    MESSAGE(instances << " instances, " << what << ": calls " << c.calls
                      << ", writes " << c.writes << ", most reads a second "
                      << c.most_reads << ", most writes a second "
                      << c.most_writes);
}

} // namespace

TEST_CASE("restored fleet: calls after a loss stay within the store's rates")
{
    for (auto const& limit :
        {rate_limits{6, 400, 2'000}, rate_limits{40, 400, 2'000},
            rate_limits{200, 400, 2'000}, rate_limits{440, 3'200, 16'000}})
    {
        CAPTURE(limit.instances);
        auto const restored = calls_after_return(limit.instances, old_copy);
        CHECK(restored.writes >= limit.instances); // Each writes its record.
        CHECK(restored.most_writes <= limit.writes);
        CHECK(restored.most_reads <= limit.reads);
    }
}

TEST_CASE("restored fleet: calls after a loss grow with the fleet no faster "
          "than after an ordinary return")
{
    auto const small_ordinary = calls_after_return(6, ks::duration{0}).calls;
    auto const small_restored = calls_after_return(6, old_copy).calls;
    for (auto const n : {40u, 200u, 440u})
    {
        CAPTURE(n);
        auto const ordinary = calls_after_return(n, ks::duration{0});
        auto const restored = calls_after_return(n, old_copy);
        print(n, "ordinary", ordinary);
        print(n, "restored", restored);
        CHECK(
            restored.calls / small_restored <= ordinary.calls / small_ordinary);
    }
}
