/// One dispatcher under test, driven by hand in virtual time.
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

/// A request that the dispatcher sent and the test has not answered.
struct sent_request
{
    connection_id connection;
    attempt_id attempt;
    std::string target;
    std::string request;
    milliseconds time_left{0};
    time_point at;
};

/// An answer to a caller.
struct answer_record
{
    caller_id caller;
    caller_answer answer;
    time_point at;
};

/// Connections that targets have from all instances, by address.
struct accepted_connections
{
    std::size_t limit = 0; ///< Of one target; what is beyond it is reset.
    std::map<std::string, std::size_t> open;
    std::size_t opened = 0; ///< All in all.
};

/// Drives a dispatcher; connections open at once unless `hold_opens` is set.
class harness
{
public:
    explicit harness(dispatch_limits const& limits = {}, std::string zone = "a",
        std::string name = "me");

    /// Lets the instance be up for half a minute before it is given anything.
    auto finish_startup() -> void { advance(seconds{30}); }

    /// Lists everything once: the configuration, the targets, the instances.
    auto feed_lists(routing_config const& c,
        std::vector<target_registration> const& targets,
        std::vector<instance_record> const& fleet = {}) -> void;

    auto feed(event const& e) -> void;
    auto advance(duration d) -> void;

    /// Connections that were held open now.
    auto complete_held_opens() -> void;

    /// The asked-for tick comes before its time.
    auto tick_early() -> void;

    /// A caller sends a request; returns its handle.
    auto submit(std::string const& id, std::string const& target = "/p/x",
        std::optional<milliseconds> deadline = milliseconds{1'000})
        -> caller_id;

    auto reply(sent_request const& s, target_reply const& r,
        bool reusable = true) -> void;
    auto succeed(sent_request const& s, std::string body = "") -> void;
    auto break_connection(sent_request const& s,
        connection_end how = connection_end::reset) -> void;

    /// True if a connection stands; only while `accepted` is set.
    auto is_open(connection_id c) const -> bool
    {
        return accepted_addresses_.contains(c);
    }

    /// Takes what was sent since the last call.
    auto take_sent() -> std::vector<sent_request>;

    /// The answer to a caller, if it has one.
    auto answer_to(caller_id c) const -> std::optional<answer_record>;

    /// Facts of one type so far.
    template <class Fact>
    auto facts() const -> std::vector<Fact>
    {
        auto out = std::vector<Fact>{};
        for (auto const& c : all_commands)
            if (auto const* n = std::get_if<note>(&c))
                if (auto const* f = std::get_if<Fact>(&n->what))
                    out.push_back(*f);
        return out;
    }

    /// Commands of one type so far.
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
    time_point now{seconds{100}};
    commands all_commands;
    std::vector<answer_record> answers;
    std::deque<sent_request> unanswered;
    bool hold_opens = false;
    std::vector<connection_id> held_opens;
    std::vector<std::string> refused_addresses; ///< Opening fails there.
    accepted_connections* accepted = nullptr;   ///< Shared by all, if set.

private:
    auto carry_out(commands const& list) -> void;
    auto carry_out(command const& c) -> void;
    auto open(open_connection const& c) -> void;
    auto accept(open_connection const& c) -> bool;
    auto close_accepted(connection_id c) -> void;

    std::map<connection_id, std::string>
        accepted_addresses_; ///< While `accepted` is set.
    std::optional<time_point> wake_;
    std::deque<event> pending_events_;
    std::uint64_t callers_ = 0;
    std::uint64_t revision_ = 10;
};

/// A route to one service.
auto single_route(std::string const& service) -> route;

/// A route to shards.
auto shard_route(std::vector<std::string> const& shards, double min_coverage)
    -> route;

/// A configuration of one route.
auto config_of(route const& r, std::uint64_t version = 1) -> routing_config;

/// A registration in a zone.
auto make_registration(std::string const& name, std::string const& service,
    std::string const& zone) -> target_registration;

/// A success with a signature.
auto success_reply(std::string body = "", std::string signature = "s")
    -> target_reply;

/// True if an answer is of a type.
template <class T>
auto is(caller_answer const& a) -> bool
{
    return std::holds_alternative<T>(a);
}

/// The refusal that a caller got.
auto refusal_of(harness const& r, caller_id c) -> answer_refused;

/// The merged answer that a caller got.
auto merged_of(harness const& r, caller_id c) -> answer_merged;

/// Targets of a service, one in each zone.
auto three_targets(std::string const& service)
    -> std::vector<target_registration>;

/// Targets of the services s0 and s1.
auto two_shard_targets() -> std::vector<target_registration>;

/// The same route, not to be repeated.
auto with_at_most_once(route r) -> route;

} // namespace knapweedstream::dispatch

#endif
