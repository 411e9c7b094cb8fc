/// Simulated deployment at the ports of nodes, in virtual time: leafs,
/// platform, peers.
///
/// Each command is answered by the event that the real adapter would deliver,
/// after a pseudo-random delay. Tests inject faults by setting fields.
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

/// A simulated target with its faults and counters.
struct fake_leaf
{
    target_info info;
    std::uint32_t epoch = 1;
    std::vector<std::uint64_t> versions{1};
    std::uint64_t boot = 1;
    us latency{2'000};
    bool down = false;          ///< Connections are refused.
    bool frozen = false;        ///< Nothing is answered.
    bool mismatched_id = false; ///< Answers carry a wrong attempt id.
    bool wrong_shard = false;   ///< Answers name another shard.
    bool draining = false;
    bool shedding = false;             ///< Requests are shed.
    bool drop_booking_replies = false; ///< Bookings run without an answer.
    std::uint32_t fail_percent = 0;    ///< Percentage of searches that fail.
    std::string crash_on; ///< Request text that crashes it; empty: none.
    us crash_after{500};
    /// Number of runs by booking text.
    std::map<std::string, int> booking_runs;
    std::set<connection_id> open;
    std::set<connection_id> silent_connections; ///< Get no more answers.
    std::set<attempt_id> cancelled;
    std::uint32_t in_flight = 0;
    std::uint32_t max_in_flight = 0; ///< Maximum since a test reset it.
    std::uint32_t received = 0;
    std::uint32_t crashes = 0;
};

/// The simulated platform: stored claims and rollouts.
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
    std::uint64_t era = 0;          ///< Stated in all answers unless 0.
    std::vector<rollout> history;   ///< All states stored, in order.
    bool down = false;              ///< All calls fail.
    std::uint32_t lose_answers = 0; ///< Next writes take effect, then fail.
    std::uint64_t writes = 0;
};

/// What a caller received.
struct outcome
{
    std::optional<query_answer> answer;
    std::optional<refusal> refused;
    std::optional<booking_answer> booking;
    std::uint32_t count = 0; ///< Answers and refusals; must end as 1.
    time_point at;
};

/// One simulated instance.
struct fake_instance
{
    instance_info info;
    std::optional<node> live_node; ///< Empty while the instance is killed.
    bool paused = false;
    bool exited = false;
    std::uint32_t incarnation = 1;
    std::vector<event> deferred_events; ///< Received while paused.
    std::optional<time_point> next_wake;
    bool watching = false;
    std::uint64_t entered_era = 0; ///< Last era that a peer has stated.
};

/// Instances, leafs and platform, driven by one queue of actions in order of
/// virtual time.
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
    /// Pairs of sender and receiver whose messages are lost.
    std::set<std::pair<std::size_t, std::size_t>> cut_links;
    time_point now{us{1'000'000}};
    customer_config config;
    /// Time and leaf address of each request that a leaf received.
    std::vector<std::pair<time_point, std::string>> request_log;
    us peer_delay{0};                  ///< Added to each message between peers.
    bool list_only_first = false;      ///< The list names only the first.
    std::function<void()> after_event; ///< Runs after each action.

    auto add_instance(std::string const& name, std::string const& zone)
        -> std::size_t;

    auto start(std::size_t i) -> void;

    /// Ends an instance without warning: its connections to leafs close and
    /// events under way to it are lost.
    auto kill(std::size_t i) -> void;

    /// Defers all events to an instance until `resume`.
    auto pause(std::size_t i) -> void { instances[i]->paused = true; }

    auto resume(std::size_t i) -> void;

    /// Adds a service; each shard has one replica in each listed zone.
    auto add_service(std::string const& name, std::uint32_t shards,
        std::vector<std::string> const& zones) -> void;

    /// Sends the configuration to all instances under a new version.
    auto publish() -> void;

    auto query(std::size_t i, std::string const& service,
        std::string const& text, milliseconds deadline = milliseconds{200})
        -> std::uint64_t;

    auto book(std::size_t i, std::string const& service, std::string const& key,
        milliseconds deadline = milliseconds{200}) -> std::uint64_t;

    auto book_text(std::size_t i, std::string const& service,
        std::string const& key, std::string const& text) -> std::uint64_t;

    auto read_config(std::size_t i, customer_config const& c) -> void;

    /// Tells an instance the platform's era, as each answer does.
    auto see_era(std::size_t i) -> void
    {
        deliver(i, era_observed{platform.era});
    }

    auto stop(std::size_t i) -> void { deliver(i, stop_requested{}); }

    /// Runs an action after a delay.
    auto run_after(us wait, std::function<void()> f) -> void;

    /// Advances virtual time, running the actions that become due.
    auto run_for(us span) -> void;

    /// Crashes a leaf: its connections close, and it refuses new ones for
    /// `down`; then it accepts them under a new boot id.
    auto crash(std::string const& address, us down = us{100'000}) -> void;

    /// Instance `i` is notified of a crash `i` times this later.
    us crash_notice_stagger{0};

    /// Uniform random integer from 0 to `below` - 1.
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

    /// Handles an event and the end of its turn in an instance, and executes
    /// the commands; defers the event while the instance is paused.
    auto deliver(std::size_t i, event const& e) -> void;

    /// Delivers an event after a delay unless the instance is killed before.
    auto deliver_after(std::size_t i, us wait, event e) -> void;

    /// Delivers an answer of the platform, which states its era.
    auto answer_after(std::size_t i, us wait, event e) -> void;

    auto deliver_to_owner(connection_id c, event e, us wait) -> void;

    auto report(fake_leaf const& l) const -> target_report;

    auto find_leaf(connection_id c) -> fake_leaf*;

    auto open(std::size_t i, leaf_open const& c) -> void;

    auto respond(connection_id c, attempt_id a, leaf_outcome const& o) -> void;

    /// Receives a request.
    ///
    /// @returns The leaf if it runs the request, otherwise null.
    auto receive(connection_id c, attempt_id a, std::string const& text)
        -> fake_leaf*;

    auto end_request(fake_leaf& l) -> void { l.in_flight -= l.in_flight > 0; }

    auto search(leaf_search const& s) -> void;

    auto book(leaf_book const& b) -> void;

    auto cancel(leaf_cancel const& c) -> void;

    auto send(std::size_t i, peer_send const& p) -> void;

    /// Runs `act` when a call reaches the platform; delivers `failed` instead
    /// if the platform is down.
    auto call_platform(std::size_t i, event const& failed,
        std::function<void()> const& act) -> void;

    /// Delivers `failed` for a stored write if `lose_answers` says so.
    ///
    /// @returns True if the answer is lost.
    auto loses_answer(std::size_t i, event const& failed) -> bool;

    /// Version of a stored object in the platform's present era.
    template <class Object>
    auto version_of(Object const& o) const -> store_version
    {
        return {platform.era, o.version};
    }

    auto store_claims(std::size_t i, claims_write const& w) -> void;

    auto load_claims(std::size_t i, claims_read const& r) -> void;

    auto store_rollout(std::size_t i, rollout_write const& w) -> void;

    auto load_rollout(std::size_t i, rollout_read const& r) -> void;

    auto wake(std::size_t i, time_point when) -> void;

    auto execute(std::size_t i, command const& c) -> void;

public:
    /// Key of a row; encodes the shard, snapshot and query text of its answer.
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

/// True if a caller received exactly one answer, which covers all shards.
inline auto is_complete(outcome const& o) -> bool
{
    return o.count == 1 && o.answer && o.answer->covered.missing.empty();
}

/// Sends `n` queries to the first three instances in turn, one per interval
/// `each`.
///
/// @returns The number of queries answered completely.
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

/// Three instances in two zones and one service with warm targets.
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
