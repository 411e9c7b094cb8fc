/// What the dispatcher asks of its adapters.
#ifndef KNAPWEEDSTREAM_PORT_DISPATCH_COMMAND_HPP
#define KNAPWEEDSTREAM_PORT_DISPATCH_COMMAND_HPP

#include "port/dispatch_fact.hpp"

#include <variant>
#include <vector>

namespace knapweedstream::dispatch
{

/// Answers a caller; its last message.
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

/// Closes a connection; a request in flight on it is given up.
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
    std::string target; ///< Name of the target that is to run it.
    routed_request_ptr request;
    milliseconds time_left{0}; ///< Until the target is to give up.
    auto operator<=>(send_request const&) const = default;
};

/// Lists a kind.
struct store_list
{
    store_kind kind = store_kind::configuration;
    std::string after; ///< Continues after this name; empty: from the start.
    bool may_be_stale = false; ///< The answer may be seconds old.
    auto operator<=>(store_list const&) const = default;
};

/// Waits for changes of a kind.
struct store_watch
{
    store_kind kind = store_kind::configuration;
    std::uint64_t revision = 0; ///< Changes after this one.
    milliseconds wait{0};
    bool may_be_stale = false; ///< Changes may come seconds late.
    auto operator<=>(store_watch const&) const = default;
};

/// Asks for changes that a waiting watch should have brought; the answer comes
/// at once and may be seconds old.
struct store_check
{
    store_kind kind = store_kind::configuration;
    std::uint64_t revision = 0; ///< Changes after this one.
    auto operator<=>(store_check const&) const = default;
};

/// Writes this instance's record.
struct store_write_record
{
    instance_record record;
    bool exists = false; ///< Replaces one; otherwise it is made.
    auto operator<=>(store_write_record const&) const = default;
};

/// Writes the state of a rollout order, if the order is still as it was.
struct store_write_order_state
{
    std::string name;    ///< Of the order.
    std::string version; ///< That it asks for.
    order_state state = order_state::waiting;
    std::uint64_t revision = 0; ///< Of the order.
    auto operator<=>(store_write_order_state const&) const = default;
};

/// Removes an instance's record.
struct store_delete_record
{
    std::string name;
    auto operator<=>(store_delete_record const&) const = default;
};

/// Limits on what callers send, from now on.
struct set_caller_limits
{
    caller_limits limits;
    auto operator<=>(set_caller_limits const&) const = default;
};

/// The instance may or may not be given new callers.
struct set_ready
{
    bool ready = false;
    auto operator<=>(set_ready const&) const = default;
};

/// Callers' connections are to be closed after their next answer.
struct drain_callers
{
    auto operator<=>(drain_callers const&) const = default;
};

/// The instance has finished its work and may exit.
struct exit_now
{
    auto operator<=>(exit_now const&) const = default;
};

/// A `tick` is wanted at this time.
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

using command = std::variant<answer_caller, open_connection, close_connection,
    send_request, store_list, store_watch, store_check, store_write_record,
    store_write_order_state, store_delete_record, set_caller_limits, set_ready,
    drain_callers, exit_now, wake_at, report_fact>;

using commands = std::vector<command>;

} // namespace knapweedstream::dispatch

#endif
