/// Events that the adapters deliver to the dispatcher, which routes callers'
/// requests to targets.
#ifndef KNAPWEEDSTREAM_PORT_DISPATCH_EVENT_HPP
#define KNAPWEEDSTREAM_PORT_DISPATCH_EVENT_HPP

#include "port/relay.hpp"
#include "port/store.hpp"

#include <knapweedstream/exchange.hpp>
#include <knapweedstream/ids.hpp>

#include <variant>

namespace knapweedstream::dispatch
{

/// A caller's request was received completely.
struct caller_request
{
    caller_id caller;
    routed_request_ptr request;
    /// Longest time for which it may have waited unread, or has been read. The
    /// caller's time limit runs meanwhile.
    duration waited{0};
    auto operator<=>(caller_request const&) const = default;
};

/// A caller disconnected before it was answered.
struct caller_gone
{
    caller_id caller;
    auto operator<=>(caller_gone const&) const = default;
};

/// A connection to a target was established.
struct connection_opened
{
    connection_id connection;
    auto operator<=>(connection_opened const&) const = default;
};

/// How a connection to a target ended.
enum class connection_end : std::uint8_t
{
    refused,        ///< It could not be established.
    timeout,        ///< It was not established in time.
    closed,         ///< The target closed it.
    reset,          ///< It was reset or broke otherwise.
    protocol_error, ///< Malformed or unsolicited data arrived.
};

/// A connection to a target ended or could not be established.
struct connection_closed
{
    connection_id connection;
    connection_end how = connection_end::closed;
    bool unsent = false; ///< No byte of the request in flight was written.
    auto operator<=>(connection_closed const&) const = default;
};

/// A target replied to the request in flight on a connection.
struct target_replied
{
    connection_id connection;
    attempt_id attempt;
    target_reply reply;
    bool reusable = true;   ///< The connection can be reused.
    duration idle_limit{0}; ///< Target's idle timeout; 0: not stated.
    target_statement said;  ///< Empty if another target has replied.
    auto operator<=>(target_replied const&) const = default;
};

/// A page of a list of objects was read.
struct store_listed
{
    store_kind kind = store_kind::configuration;
    std::vector<stored_object> objects;
    std::string next; ///< Last name if more pages follow; otherwise empty.
    std::uint64_t revision = 0; ///< Of the store when the page was read.
    /// More pages follow, but no object of this one has a name to continue
    /// from.
    bool no_next = false;
    store_era era{}; ///< Stated in the answer.
    auto operator<=>(store_listed const&) const = default;
};

/// A watch returned the changes since its revision, or none after its wait.
struct store_changed
{
    store_kind kind = store_kind::configuration;
    std::vector<stored_change> changes;
    std::uint64_t revision = 0; ///< Revision to watch from next.
    store_era era{};            ///< Stated in the answer.
    auto operator<=>(store_changed const&) const = default;
};

/// A check of a pending watch was answered or failed.
struct store_checked
{
    store_kind kind = store_kind::configuration;
    std::uint64_t since = 0; ///< Revision that the check started from.
    std::vector<stored_change> changes;
    std::uint64_t revision = 0; ///< Revision of the data that was checked.
    std::optional<store_failure> failure; ///< Set if the check failed.
    store_era era{};                      ///< Stated in the answer.
    auto operator<=>(store_checked const&) const = default;
};

/// The store has discarded the changes since the watched revision.
struct store_compacted
{
    store_kind kind = store_kind::configuration;
    store_era era{}; ///< Stated in the answer.
    auto operator<=>(store_compacted const&) const = default;
};

/// A list or watch failed.
struct store_failed
{
    store_kind kind = store_kind::configuration;
    store_failure failure = store_failure::unreachable;
    store_era era{}; ///< Stated in the answer.
    auto operator<=>(store_failed const&) const = default;
};

/// A write was carried out or failed.
struct store_written
{
    store_kind kind = store_kind::instances;
    std::string name;
    std::uint64_t revision = 0;           ///< New revision, if carried out.
    std::optional<store_failure> failure; ///< Set if the write failed.
    store_era era{};                      ///< Stated in the answer.
    auto operator<=>(store_written const&) const = default;
};

/// Version of the store's data in an answer. An answer that states no era must
/// have been given the era last seen.
template <class Answer>
auto version_of(Answer const& e) -> store_version
{
    return {e.era.value_or(0), e.revision};
}

/// Another instance asks for changes of the store's objects.
struct relay_asked
{
    relay_caller_id caller;
    relay_request request;
    auto operator<=>(relay_asked const&) const = default;
};

/// A relay has answered.
struct relay_replied
{
    std::string address; ///< Of the relay.
    relay_reply reply;
    auto operator<=>(relay_replied const&) const = default;
};

/// A relay has not answered in time, or with something unreadable.
struct relay_failed
{
    std::string address; ///< Of the relay.
    auto operator<=>(relay_failed const&) const = default;
};

/// The time requested by `wake_at` has come.
struct tick
{
    auto operator<=>(tick const&) const = default;
};

/// The operator or the platform requests a graceful stop.
struct stop_requested
{
    auto operator<=>(stop_requested const&) const = default;
};

/// Any event of the dispatcher.
using event = std::variant<caller_request, caller_gone, connection_opened,
    connection_closed, target_replied, store_listed, store_changed,
    store_checked, store_compacted, store_failed, store_written, relay_asked,
    relay_replied, relay_failed, tick, stop_requested>;

} // namespace knapweedstream::dispatch

#endif
