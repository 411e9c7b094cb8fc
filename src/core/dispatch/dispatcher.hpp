/// The dispatcher: routes callers' requests to targets. It turns each event
/// into commands for its adapters and uses no I/O and no clock of its own.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_DISPATCHER_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_DISPATCHER_HPP

#include "core/dispatch/limits.hpp"
#include "port/dispatch_command.hpp"

#include <map>
#include <memory>
#include <string>

namespace knapweedstream::dispatch
{

/// Parameters of a new dispatcher.
struct dispatcher_init
{
    instance_record self;
    /// Region of each availability zone.
    std::map<std::string, std::string> regions;
    std::uint64_t seed = 1;
    dispatch_limits limits;
    dispatch_bounds bounds;

    auto operator<=>(dispatcher_init const&) const = default;
};

/// Counters since the start of the process.
struct dispatch_stats
{
    std::uint64_t requests = 0;
    std::uint64_t read_late = 0; ///< Requests that had waited unread for long.
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;   ///< Requests whose caller hung up.
    std::uint64_t first_sends = 0; ///< Parts sent for the first time.
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
    /// First requests sent again since nothing of them was written.
    std::uint64_t free_repeats = 0;
    /// Extra sends refused by the retry budget.
    std::uint64_t budget_refusals = 0;
    std::uint64_t overload_replies = 0;
    /// Attempts whose connection broke and that the target may have run.
    std::uint64_t lost_attempts = 0;
    /// Replies that were invalid or to another request.
    std::uint64_t unusable_replies = 0;
    // Replies in which targets stated a limit, asked for a pause, or said that
    // they leave.
    std::uint64_t limit_notices = 0;
    std::uint64_t pause_notices = 0;
    std::uint64_t leaving_notices = 0;
    /// Statements of targets about themselves that could not be read.
    std::uint64_t ignored_statements = 0;
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    std::uint64_t store_failures = 0;
    std::uint64_t store_restores = 0;   ///< Eras of the store that were begun.
    std::uint64_t outdated_objects = 0; ///< Older ones that were ignored.
    std::uint64_t relay_failures = 0;   ///< Relays that did not serve.
    std::uint64_t relay_answers = 0;    ///< Questions answered as a relay.
    std::uint64_t configs = 0;          ///< Configurations that were applied.

    auto operator<=>(dispatch_stats const&) const = default;
};

/// Current values of the gauges.
struct dispatch_gauges
{
    std::uint64_t requests_open = 0;
    std::uint64_t parts_waiting = 0; ///< Parts queued for a connection.
    std::uint64_t connections = 0;
    std::uint64_t targets = 0;
    std::uint64_t instances = 0;
    std::uint64_t budget_instances = 0; ///< That share the retry budgets.
    /// What this instance may use of their fixed part, out of `whole_budget`.
    std::uint64_t budget_claim = 0;
    /// Extra requests that their targets may not have read yet.
    std::uint64_t unsettled_extras = 0;
    std::uint64_t config_version = 0;
    std::uint64_t store_era = 0; ///< 0: the store has not stated one.
    bool ready = false;
    bool stopping = false;

    auto operator<=>(dispatch_gauges const&) const = default;
};

struct dispatch_state;

/// Makes the routing decisions of one instance.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_init const& init);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    auto operator=(dispatcher&&) noexcept -> dispatcher&;
    dispatcher(dispatcher const&) = delete;
    auto operator=(dispatcher const&) -> dispatcher& = delete;

    /// Begins to follow the store. Must be called once, before `handle`.
    auto start(time_point now) -> commands;

    /// Handles one event.
    ///
    /// @param[in] now Current time; never goes back between calls.
    /// @returns Commands to be carried out in order.
    auto handle(event const& e, time_point now) -> commands;

    /// Applies changed settings; open connections and requests are kept.
    auto reconfigure(dispatch_limits const& limits,
        dispatch_bounds const& bounds, time_point now) -> void;

    auto stats() const -> dispatch_stats const&;
    auto gauges() const -> dispatch_gauges;

private:
    std::unique_ptr<dispatch_state> state_;
};

} // namespace knapweedstream::dispatch

#endif
