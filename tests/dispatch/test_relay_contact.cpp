/// Instances whose relay answers while they are out of contact with the store.
#include "core/dispatch/relays.hpp"
#include "dispatch/fleet_drill.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

namespace ks = knapweedstream;
using namespace knapweedstream::dispatch;
using ks::milliseconds;
using ks::seconds;

namespace
{

/// An instance of a zone of eight that has asked a relay for the first time and
/// has then lost the store: the calls for the targets probe it.
class asking_instance
{
public:
    asking_instance()
    {
        auto init = dispatcher_init{};
        for (auto i = 0; i < zone_size; ++i)
        {
            auto const n = std::to_string(i);
            fleet_.push_back({"i" + n, "a", "north", "10.0.0.1:" + n});
            all_[fleet_.back().name] = fleet_.back();
        }
        init.self = *std::find_if(fleet_.begin(), fleet_.end(),
            [&](auto const& it)
            { return !relay_candidates(it, all_).empty(); });
        init.regions = {{"a", "north"}};
        r = std::make_unique<harness>(init);
        r->feed_lists(config_of(single_route("s")), {}, fleet_);
        r->advance(seconds{3});
        r->feed(store_listed{ks::store_kind::instances, records(), "", 50});
        r->feed(store_failed{ks::store_kind::targets, {}, {}});
        r->feed(store_failed{ks::store_kind::configuration, {}, {}});
        r->advance(seconds{8}); // The other kinds wait for the probe.
        REQUIRE(count<store_watch>(ks::store_kind::configuration) == 1);
    }

    /// The relay serves.
    auto reply(std::vector<relay_update> const& updates) -> void
    {
        auto const asked = r->commands_of<ask_relay>();
        REQUIRE(!asked.empty());
        r->feed(relay_replied{asked.back().address, {true, updates}});
    }

    /// Calls of a type for a kind so far.
    template <class Call>
    auto count(ks::store_kind kind) const -> std::size_t
    {
        auto const all = r->commands_of<Call>();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
            [&](auto const& it) { return it.kind == kind; }));
    }

    std::unique_ptr<harness> r;

private:
    auto records() const -> std::vector<ks::stored_object>
    {
        auto out = std::vector<ks::stored_object>{};
        for (auto const& it : fleet_)
            out.push_back({it.name, 40, it});
        return out;
    }

    static constexpr auto zone_size = 8;
    std::vector<ks::instance_record> fleet_;
    std::map<std::string, ks::instance_record> all_;
};

/// Nothing new up to a revision.
auto targets_update(std::uint64_t revision) -> relay_update
{
    return {ks::store_kind::targets, {0, revision}, false, {}};
}

/// Two zones whose instances follow the store through relays.
auto relayed_setup(std::uint64_t seed) -> store_fleet_setup
{
    auto s = drill_setup(30);
    s.seed = seed;
    return s;
}

auto random_time(int from, int to) -> milliseconds
{
    return milliseconds{*rc::gen::inRange(from, to)};
}

/// The store falls silent, or some instances lose it.
auto random_loss(fleet_drill& d) -> void
{
    auto& f = d.fleet;
    if (*rc::gen::arbitrary<bool>())
        f.silence_until(f.now + random_time(200, 7'000));
    else
        for (std::size_t i = 0; i < f.size(); ++i)
            if (*rc::gen::inRange(0, 10) < 4)
                f.cut_until(i, f.now + random_time(200, 7'000));
    d.run(random_time(20, 3'000));
    d.change_config();
    f.change_target();
    d.run(random_time(20, 6'000));
}

} // namespace

TEST_CASE("relays: no instance keeps an older configuration after a loss of "
          "contact that some relays have not seen")
{
    CHECK(rc::check(
        []
        {
            auto d = fleet_drill{
                relayed_setup(*rc::gen::inRange<std::uint64_t>(1, 1'000))};
            d.run(seconds{15});
            auto const losses = *rc::gen::inRange(1, 4);
            for (auto k = 0; k < losses; ++k)
                random_loss(d);
            constexpr auto longest_loss = seconds{7};
            d.run(longest_loss + drill_known_within + drill_lapse_grace);
            d.change_config();
            d.run(drill_known_within);
            RC_ASSERT(d.fault() == "");
        }));
}

TEST_CASE("relays: an answer of a relay does not end the search for the store "
          "of an instance that is asked itself")
{
    auto i = asking_instance{};
    i.r->feed(relay_asked{relay_caller_id{1}, {"other", {}, {}}});
    i.reply({targets_update(60)});
    i.r->feed(store_changed{ks::store_kind::targets, {}, 61});
    i.r->advance(seconds{1});
    CHECK(i.count<store_watch>(ks::store_kind::configuration) > 1);
}

TEST_CASE("relays: an instance that turns to a relay after a loss of the store "
          "still lists the instances")
{
    for (auto const& news : {std::vector<relay_update>{},
             std::vector<relay_update>{targets_update(60)}})
    {
        CAPTURE(news.size());
        auto i = asking_instance{};
        auto const before = i.count<store_list>(ks::store_kind::instances);
        i.reply(news);
        i.r->advance(seconds{1});
        CHECK(i.count<store_list>(ks::store_kind::instances) > before);
    }
}

TEST_CASE(
    "relays: an instance that leaves its relay during a loss of the store "
    "calls for all kinds again")
{
    auto i = asking_instance{};
    i.reply({});
    i.r->advance(seconds{1});
    i.r->feed(store_failed{ks::store_kind::instances, {}, {}});
    auto const before = i.count<store_watch>(ks::store_kind::configuration);
    i.r->feed(relay_asked{relay_caller_id{1}, {"other", {}, {}}});
    i.r->advance(seconds{1});
    CHECK(i.count<store_watch>(ks::store_kind::configuration) > before);
}

TEST_CASE("relays: an instance that is no longer asked asks a relay again")
{
    constexpr auto duty = seconds{30};
    auto i = asking_instance{};
    i.r->feed(relay_asked{relay_caller_id{1}, {"other", {}, {}}});
    i.reply({});
    auto const before = i.r->commands_of<ask_relay>().size();
    i.r->advance(duty / 2);
    CHECK(i.r->commands_of<ask_relay>().size() == before);
    i.r->advance(duty);
    CHECK(i.r->commands_of<ask_relay>().size() > before);
}
