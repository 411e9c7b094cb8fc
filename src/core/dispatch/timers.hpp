/// Timers of the dispatcher.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_TIMERS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_TIMERS_HPP

#include "port/store.hpp"

#include <knapweedstream/ids.hpp>
#include <knapweedstream/time.hpp>

#include <cstdint>
#include <variant>

namespace knapweedstream::dispatch
{

using request_key = handle<struct request_tag>; ///< Identifies an open request.

// What a timer is for. Timers are not cancelled: the handler ignores one whose
// cause has gone.

/// Something is due for a request: a hedge, a retry, the queue limit, the
/// objective or the deadline.
struct request_due
{
    request_key request;
    auto operator<=>(request_due const&) const = default;
};

/// The timeout of an abandoned attempt has passed: if it is still in flight,
/// its connection is closed.
struct abandoned_due
{
    attempt_id attempt;
    auto operator<=>(abandoned_due const&) const = default;
};

/// A connection has been opening or idle for too long.
struct link_due
{
    connection_id connection;
    auto operator<=>(link_due const&) const = default;
};

/// A target may be connected to again, or the grace period of its vanished
/// registration has ended.
struct target_due
{
    target_id target;
    auto operator<=>(target_due const&) const = default;
};

/// The next call to the store for a kind of object is due.
struct follow_due
{
    store_kind kind = store_kind::configuration;
    auto operator<=>(follow_due const&) const = default;
};

/// The rollout order of a service is to be checked for progress.
struct shift_due
{
    service_id service;
    auto operator<=>(shift_due const&) const = default;
};

/// The waiting watches of the store are to be checked.
struct check_due
{
    auto operator<=>(check_due const&) const = default;
};

/// A relay is to be asked, or the wait of a question ends.
struct relay_due
{
    auto operator<=>(relay_due const&) const = default;
};

/// The graceful stop is to be checked for progress.
struct stop_due
{
    auto operator<=>(stop_due const&) const = default;
};

/// This instance's report is to be written if it has changed.
struct report_due
{
    auto operator<=>(report_due const&) const = default;
};

/// What is known of a kind from before the store's present era, and was not
/// read again, is to be settled.
struct settle_due
{
    store_kind kind = store_kind::configuration;
    auto operator<=>(settle_due const&) const = default;
};

using timer =
    std::variant<request_due, abandoned_due, link_due, target_due, follow_due,
        settle_due, check_due, relay_due, shift_due, report_due, stop_due>;

/// An armed timer; timers of equal time fire in the order of arming.
struct timer_entry
{
    time_point when;
    std::uint64_t order = 0; ///< Order of arming.
    timer what;

    auto operator>(timer_entry const& it) const -> bool
    {
        return when != it.when ? when > it.when : order > it.order;
    }
};

} // namespace knapweedstream::dispatch

#endif
