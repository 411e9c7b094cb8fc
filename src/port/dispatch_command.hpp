/// Commands of the dispatcher, which routes callers' requests to targets, to
/// its adapters.
#ifndef KNAPWEEDSTREAM_PORT_DISPATCH_COMMAND_HPP
#define KNAPWEEDSTREAM_PORT_DISPATCH_COMMAND_HPP

#include "port/dispatch_fact.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace knapweedstream::dispatch
{

/// Sends the final answer to a caller.
struct answer_caller
{
    caller_id caller;
    caller_answer answer;
    auto operator<=>(answer_caller const&) const = default;
};

/// Opens a connection to a target.
struct open_connection
{
    connection_id connection;
    std::string address;
    auto operator<=>(open_connection const&) const = default;
};

/// Closes a connection to a target and abandons a request in flight on it.
struct close_connection
{
    connection_id connection;
    auto operator<=>(close_connection const&) const = default;
};

/// Sends a request on an idle connection.
struct send_request
{
    connection_id connection;
    attempt_id attempt;
    std::string target; ///< Name of the intended target.
    routed_request_ptr request;
    milliseconds time_left{0}; ///< Time limit for the target.
    auto operator<=>(send_request const&) const = default;
};

/// Lists the store's objects of a kind.
struct store_list
{
    store_kind kind = store_kind::configuration;
    std::string after; ///< Continues after this name; empty: from the start.
    bool may_be_stale = false; ///< Accepts an answer that is seconds old.
    auto operator<=>(store_list const&) const = default;
};

/// Waits for changes to objects of a kind.
struct store_watch
{
    store_kind kind = store_kind::configuration;
    std::uint64_t revision = 0; ///< Returns changes after it.
    milliseconds wait{0};       ///< Longest wait for a change.
    bool may_be_stale = false;  ///< Accepts changes that are seconds late.
    milliseconds timeout{0};    ///< Until the answer; it fails without one.
    auto operator<=>(store_watch const&) const = default;
};

/// Asks for the changes since the revision of a pending watch, to detect that
/// the watch no longer returns changes. The answer comes without waiting and
/// may be seconds old.
struct store_check
{
    store_kind kind = store_kind::configuration;
    std::uint64_t revision = 0; ///< Returns changes after it.
    milliseconds timeout{0};    ///< Until the answer; it fails without one.
    auto operator<=>(store_check const&) const = default;
};

/// Writes this instance's record to the store.
struct store_write_record
{
    instance_record record;
    /// Replaces the record of this revision, 0 for any; empty: creates it.
    std::optional<std::uint64_t> replaced;
    auto operator<=>(store_write_record const&) const = default;
};

/// Writes the state of a rollout order unless the order has changed.
struct store_write_order_state
{
    std::string name;    ///< Name of the order.
    std::string version; ///< Version that the order asks for.
    order_state state = order_state::waiting;
    std::uint64_t revision = 0; ///< Expected revision of the order.
    auto operator<=>(store_write_order_state const&) const = default;
};

/// Deletes this instance's record from the store.
struct store_delete_record
{
    std::string name;
    auto operator<=>(store_delete_record const&) const = default;
};

/// Writes this instance's report to the store.
struct store_write_report
{
    instance_report report;
    bool exists = false; ///< Replaces the report; otherwise creates it.
    auto operator<=>(store_write_report const&) const = default;
};

/// Deletes this instance's report from the store.
struct store_delete_report
{
    std::string name;
    auto operator<=>(store_delete_report const&) const = default;
};

/// Asks another instance for changes of the store's objects.
struct ask_relay
{
    std::string address;
    relay_request request;
    milliseconds timeout{0}; ///< Until the answer; it fails without one.
    auto operator<=>(ask_relay const&) const = default;
};

/// Answers questions of other instances.
struct answer_relay
{
    std::vector<relay_caller_id> callers;
    relay_reply reply;
    auto operator<=>(answer_relay const&) const = default;
};

/// Sets the limits on callers' requests and connections.
struct set_caller_limits
{
    caller_limits limits;
    auto operator<=>(set_caller_limits const&) const = default;
};

/// Sets whether the instance reports itself as ready for callers.
struct set_ready
{
    bool ready = false;
    auto operator<=>(set_ready const&) const = default;
};

/// Closes callers' connections: idle ones at once, others after their answer.
struct drain_callers
{
    auto operator<=>(drain_callers const&) const = default;
};

/// Ends the process; all work is finished or the grace period is over.
struct exit_now
{
    auto operator<=>(exit_now const&) const = default;
};

/// Requests a `tick` event at the given time.
struct wake_at
{
    time_point when;
    auto operator<=>(wake_at const&) const = default;
};

/// Reports a fact to the log and the metrics.
struct report_fact
{
    fact what;
    auto operator<=>(report_fact const&) const = default;
};

/// Any command of the dispatcher.
using command = std::variant<answer_caller, open_connection, close_connection,
    send_request, store_list, store_watch, store_check, store_write_record,
    store_write_order_state, store_delete_record, store_write_report,
    store_delete_report, ask_relay, answer_relay, set_caller_limits, set_ready,
    drain_callers, exit_now, wake_at, report_fact>;

using commands = std::vector<command>;

} // namespace knapweedstream::dispatch

#endif
