/// Test harness that drives one dispatcher in virtual time.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_HARNESS_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_HARNESS_HPP

#include "core/dispatch/dispatcher.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// A request that the dispatcher has sent to a target.
struct sent_request
{
    connection_id connection;
    attempt_id attempt;
    std::string target;
    std::string request;
    milliseconds time_left{0};
    time_point at;
};

/// An answer that a caller got.
struct answer_record
{
    caller_id caller;
    caller_answer answer;
    time_point at;
};

/// Connections that targets have accepted from all instances.
struct accepted_connections
{
    std::size_t limit = 0; ///< Of one target; connections beyond it are reset.
    std::map<std::string, std::size_t> open; ///< By address.
    std::size_t opened = 0; ///< Connections accepted so far by all targets.
};

/// Feeds events to a dispatcher and carries out its commands. Connections open
/// at once unless `hold_opens` is set.
class harness
{
public:
    explicit harness(dispatch_limits const& limits = {}, std::string zone = "a",
        std::string name = "me");
    /// @param[in] start Time at which the instance starts.
    explicit harness(dispatcher_init const& init,
        time_point start = time_point{seconds{100}});

    /// Advances the clock by 30 s, so that limits which grow after a start have
    /// their full value. The instance claims the whole retry budget: its record
    /// was in the store when it started.
    auto finish_startup() -> void;

    /// Feeds a complete list of each kind of stored objects; evacuations and
    /// rollouts are empty.
    auto feed_lists(routing_config const& c,
        std::vector<target_registration> const& targets,
        std::vector<instance_record> const& fleet = {}) -> void;

    auto feed(event const& e) -> void;
    auto advance(duration d) -> void;

    /// Opens the connections that `hold_opens` has delayed.
    auto complete_held_opens() -> void;

    /// Feeds the requested tick before its time.
    auto tick_early() -> void;

    /// Sends a request as a new caller; returns the caller's ID.
    auto submit(std::string const& id, std::string const& target = "/p/x",
        std::optional<milliseconds> deadline = milliseconds{1'000})
        -> caller_id;

    auto reply(sent_request const& s, target_reply const& r,
        bool reusable = true) -> void;
    /// Replies and states something of the target itself.
    auto reply_saying(sent_request const& s, target_reply const& r,
        target_statement const& said) -> void;
    auto succeed(sent_request const& s, std::string body = "") -> void;
    auto break_connection(sent_request const& s,
        connection_end how = connection_end::reset) -> void;

    /// True if a connection is open; tracked only while `accepted` is set.
    auto is_open(connection_id c) const -> bool
    {
        return accepted_addresses_.contains(c);
    }

    /// Returns and clears `unanswered`: the requests sent since the last call,
    /// except those already answered.
    auto take_sent() -> std::vector<sent_request>;

    /// True if some of the next requests reach a target. Those that reach any
    /// succeed.
    auto sends_to(std::string const& target, int requests, duration interval)
        -> bool;

    /// The answer to a caller, if there is one.
    auto answer_to(caller_id c) const -> std::optional<answer_record>;

    /// Facts of one type that the dispatcher has reported so far.
    template <class Fact>
    auto facts() const -> std::vector<Fact>
    {
        auto out = std::vector<Fact>{};
        for (auto const& c : all_commands)
            if (auto const* n = std::get_if<report_fact>(&c))
                if (auto const* f = std::get_if<Fact>(&n->what))
                    out.push_back(*f);
        return out;
    }

    /// Commands of one type that the dispatcher has issued so far.
    template <class Command>
    auto commands_of() const -> std::vector<Command>
    {
        auto out = std::vector<Command>{};
        for (auto const& c : all_commands)
            if (auto const* it = std::get_if<Command>(&c))
                out.push_back(*it);
        return out;
    }

    dispatcher core;
    time_point now;
    commands all_commands;
    std::vector<answer_record> answers;
    std::deque<sent_request> unanswered;
    bool hold_opens = false;
    std::vector<connection_id> held_opens;
    /// Addresses that refuse connections.
    std::vector<std::string> refused_addresses;
    /// Limits connections if it is set; may be shared with other harnesses.
    accepted_connections* accepted = nullptr;

private:
    auto carry_out(commands const& list) -> void;
    auto carry_out(command const& c) -> void;
    auto open(open_connection const& c) -> void;
    auto accept(open_connection const& c) -> bool;
    auto close_accepted(connection_id c) -> void;

    /// Addresses of open connections, while `accepted` is set.
    std::map<connection_id, std::string> accepted_addresses_;
    std::optional<time_point> wake_;
    std::deque<event> pending_events_;
    instance_record self_;
    bool claiming_ = false; ///< The fleet's records state equal claims.
    std::uint64_t callers_ = 0;
    std::uint64_t revision_ = 10;
};

/// An idempotent route from host `h` and path `/p/` to one service.
auto single_route(std::string const& service) -> route;

/// A route as from `single_route`, but to shards, each of which is a service.
auto shard_route(std::vector<std::string> const& shards, double min_coverage)
    -> route;

/// A configuration with one route.
auto config_of(route const& r, std::uint64_t version = 1) -> routing_config;

/// A registration of a target with three slots.
auto make_registration(std::string const& name, std::string const& service,
    std::string const& zone) -> target_registration;

/// A successful reply with a body and a signature.
auto success_reply(std::string body = "", std::string signature = "s")
    -> target_reply;

/// True if an answer is of the type `T`.
template <class T>
auto is(caller_answer const& a) -> bool
{
    return std::holds_alternative<T>(a);
}

/// The answer to a caller, which must be a refusal.
auto refusal_of(harness const& r, caller_id c) -> answer_refused;

/// The answer to a caller, which must be merged from shards.
auto merged_of(harness const& r, caller_id c) -> answer_merged;

/// Targets of a service, one in each of the zones `a`, `b` and `c`.
auto three_targets(std::string const& service)
    -> std::vector<target_registration>;

/// Three targets for each of the services `s0` and `s1`.
auto two_shard_targets() -> std::vector<target_registration>;

/// Makes the requests of a route at-most-once.
auto with_at_most_once(route r) -> route;

} // namespace knapweedstream::dispatch

#endif
