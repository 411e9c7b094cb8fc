/// Fakes at the ports of a node, in virtual time: leafs, platform, peers.
///
/// Each command is answered by the event that the real adapter would bring,
/// after a delay drawn from a seed. Faults are fields that a test sets.
#ifndef KNAPWEEDSTREAM_TESTS_FAKES_HPP
#define KNAPWEEDSTREAM_TESTS_FAKES_HPP

#include "core/node.hpp"

#include <knapweedstream/overloaded.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fakes
{

using namespace knapweedstream;
using us = duration;

/// A target.
struct fake_leaf
{
    target_info info;
    std::uint32_t epoch = 1;
    std::vector<std::uint64_t> versions{1};
    std::uint64_t boot = 1;
    us latency{2'000};
    bool down = false;          ///< Connections are refused.
    bool frozen = false;        ///< Nothing is answered.
    bool mismatched_id = false; ///< Answers carry another attempt's id.
    bool wrong_shard = false;
    bool draining = false;
    bool shedding = false;
    bool drop_booking_replies = false;
    std::uint32_t fail_percent = 0; ///< Searches that fail.
    std::string crash_on;
    us crash_after{500};
    std::map<std::string, int> booking_runs; ///< Runs by booking text.
    std::set<connection_id> open;
    std::set<connection_id> silent_connections;
    std::set<attempt_id> cancelled;
    std::uint32_t in_flight = 0;
    std::uint32_t max_in_flight = 0; ///< Greatest since last reset.
    std::uint32_t received = 0;
    std::uint32_t crashes = 0;
};

/// The platform's claims.
struct fake_platform
{
    struct object
    {
        std::uint64_t version = 0;
        std::vector<claim> claims;
    };
    std::map<std::pair<std::uint64_t, std::uint32_t>, object> buckets;
    struct stored_rollout
    {
        std::uint64_t version = 0;
        rollout value;
    };
    std::map<std::uint64_t, stored_rollout> rollouts;
    std::vector<rollout> history; ///< States that were stored, in order.
    bool down = false;
    std::uint32_t lose_answers = 0; ///< Next writes: effect, no answer.
    std::uint64_t writes = 0;
};

/// What a caller got.
struct outcome
{
    std::optional<query_answer> answer;
    std::optional<refusal> refused;
    std::optional<booking_answer> booking;
    std::uint32_t count = 0; ///< Answers received; must end as 1.
    time_point at;
};

/// One instance in the fake world.
struct fake_instance
{
    instance_info info;
    std::optional<node> live_node;
    bool paused = false;
    bool exited = false;
    std::uint32_t incarnation = 1;
    std::vector<event> deferred_events;
    std::optional<time_point> next_wake;
    bool watching = false;
};

/// Instances, leafs and platform, driven by one queue of timed actions.
class world
{
public:
    explicit world(std::uint64_t seed) : random_(seed) {}

    node_limits limits;
    node_policy policy;
    std::vector<std::unique_ptr<fake_instance>> instances;
    std::map<std::string, fake_leaf> leafs; ///< By address.
    fake_platform platform;
    std::map<std::uint64_t, outcome> callers;
    std::set<std::pair<std::size_t, std::size_t>> cut_links; ///< From, to.
    time_point now{us{1'000'000}};
    customer_config config;
    std::vector<std::pair<time_point, std::string>> request_log; ///< Address.
    us peer_delay{0};                  ///< Added to each message of a peer.
    bool list_only_first = false;      ///< The list names one instance.
    std::function<void()> after_event; ///< Checked after each event.

    auto add_instance(std::string const& name, std::string const& zone)
        -> std::size_t;

    auto start(std::size_t i) -> void;

    /// Ends an instance without warning; peers and leafs see it go.
    auto kill(std::size_t i) -> void;

    auto pause(std::size_t i) -> void { instances[i]->paused = true; }

    auto resume(std::size_t i) -> void;

    /// A service with replicas in the zones in turn.
    auto add_service(std::string const& name, std::uint32_t shards,
        std::vector<std::string> const& zones) -> void;

    auto publish() -> void;

    auto query(std::size_t i, std::string const& service,
        std::string const& text, milliseconds deadline = milliseconds{200})
        -> std::uint64_t;

    auto book(std::size_t i, std::string const& service, std::string const& key,
        milliseconds deadline = milliseconds{200}) -> std::uint64_t;

    auto book_text(std::size_t i, std::string const& service,
        std::string const& key, std::string const& text) -> std::uint64_t;

    auto read_config(std::size_t i, customer_config const& c) -> void;

    auto stop(std::size_t i) -> void { deliver(i, stop_requested{}); }

    /// Does something at a later time.
    auto run_after(us wait, std::function<void()> f) -> void;

    auto run_for(us span) -> void;

    /// Crash of a leaf: connections are lost, a new boot after a while.
    auto crash(std::string const& address, us down = us{100'000}) -> void;

    /// Each instance hears of a crash so much later than the one before it.
    us crash_notice_stagger{0};

    /// Share of a number below 1, for random delays.
    auto draw(std::int64_t below) -> std::int64_t;

private:
    struct action
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> what;

        auto operator>(action const& it) const -> bool
        {
            return std::pair{when, order} > std::pair{it.when, it.order};
        }
    };

    static auto seed_of(fake_instance const& n) -> std::uint64_t
    {
        return hash_name(n.info.name, n.incarnation);
    }

    auto index_of(instance_id id) const -> std::size_t;

    auto deliver(std::size_t i, event const& e) -> void;

    auto deliver_after(std::size_t i, us wait, event e) -> void;

    auto deliver_to_owner(connection_id c, event e, us wait) -> void;

    auto report(fake_leaf const& l) const -> target_report;

    auto find_leaf(connection_id c) -> fake_leaf*;

    auto open(std::size_t i, leaf_open const& c) -> void;

    auto respond(connection_id c, attempt_id a, leaf_outcome const& o) -> void;

    /// Takes a request in; returns the leaf if it will run it.
    auto receive(connection_id c, attempt_id a, std::string const& text)
        -> fake_leaf*;

    auto end_request(fake_leaf& l) -> void { l.in_flight -= l.in_flight > 0; }

    auto search(leaf_search const& s) -> void;

    auto book(leaf_book const& b) -> void;

    auto cancel(leaf_cancel const& c) -> void;

    auto send(std::size_t i, peer_send const& p) -> void;

    /// A call reaches the platform, which may be down.
    auto call_platform(std::size_t i, event const& failed,
        std::function<void()> const& act) -> void;

    /// True if the platform loses its answer to a write that was done.
    auto loses_answer(std::size_t i, event const& failed) -> bool;

    auto store_claims(std::size_t i, claims_write const& w) -> void;

    auto load_claims(std::size_t i, claims_read const& r) -> void;

    auto store_rollout(std::size_t i, rollout_write const& w) -> void;

    auto load_rollout(std::size_t i, rollout_read const& r) -> void;

    auto wake(std::size_t i, time_point when) -> void;

    auto execute(std::size_t i, command const& c) -> void;

public:
    /// Key of a leaf's row: says what it was made from.
    static auto row_key(shard_id shard, snapshot at, std::string const& text)
        -> std::string
    {
        return std::to_string(shard.value) + "/" + std::to_string(at.epoch) +
               "/" + std::to_string(at.index_version) + "/" + text;
    }

private:
    std::mt19937_64 random_;
    std::priority_queue<action, std::vector<action>, std::greater<>> queue_;
    std::uint64_t order_ = 0;
    std::uint64_t next_caller_ = 0;
    std::map<connection_id, std::size_t> owner_of_;
    std::map<connection_id, std::string> leaf_of_;
    std::map<connection_id, attempt_id> current_attempt_;
};

/// True if a caller got one whole answer.
inline auto is_complete(outcome const& o) -> bool
{
    return o.count == 1 && o.answer && o.answer->covered.missing.empty();
}

/// Asks the three instances in turn, one query each so often.
///
/// @returns Queries that were answered whole.
inline auto query_round_robin(
    world& w, std::string const& text, int n, milliseconds each) -> int
{
    auto complete = 0;
    for (auto i = 0; i < n; ++i)
    {
        auto const id =
            w.query(i % 3, "voorraad", text + "-" + std::to_string(i));
        w.run_for(each);
        complete += is_complete(w.callers[id]) ? 1 : 0;
    }
    return complete;
}

/// Three instances in two zones and one service, warmed up.
inline auto standard_world(std::uint64_t seed, std::uint32_t shards = 6)
    -> std::unique_ptr<world>
{
    auto w = std::make_unique<world>(seed);
    w->config.name = "regie";
    w->add_service("voorraad", shards, {"gent-dok", "brugge-zuid"});
    w->add_instance("entry-1", "gent-dok");
    w->add_instance("entry-2", "brugge-zuid");
    w->add_instance("entry-3", "gent-dok");
    w->publish();
    w->run_for(milliseconds{500});
    query_round_robin(*w, "warm", 40, milliseconds{30});
    w->run_for(milliseconds{500});
    return w;
}

} // namespace fakes

#endif
