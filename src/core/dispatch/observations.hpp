/// Table entries for what this instance and others have observed, and must
/// remember beyond a request or a target's registration.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_OBSERVATIONS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_OBSERVATIONS_HPP

#include "core/dispatch/target_notices.hpp"

#include <knapweedstream/ids.hpp>
#include <knapweedstream/report.hpp>

#include <deque>
#include <unordered_map>

namespace knapweedstream::dispatch
{

/// Content that targets have answered lately. It crashes no target.
struct answered_contents
{
    std::unordered_map<fingerprint, time_point> at;
    std::deque<fingerprint> order; ///< Oldest first; bounded.
};

/// The newest report of another instance.
struct received_report
{
    instance_report value;
    time_point at; ///< When it was read.
    store_version version;

    auto operator<=>(received_report const&) const = default;
};

/// The report that this instance has written to the store.
struct written_report
{
    instance_report value;
    bool exists = false; ///< The store holds a report of this instance.
    bool due = false;    ///< A timer for the next report is armed.
    time_point at;       ///< When it was last written.
    /// Of the report in the store, as last confirmed by a write.
    store_version version;

    auto operator<=>(written_report const&) const = default;
};

/// Notices of a target whose registration has gone, in case it comes back.
struct departed_target
{
    std::int64_t started_ms = 0; ///< Start of the target, as registered.
    target_notices notices;
    time_point at;         ///< When its registration went.
    std::uint64_t era = 0; ///< Era of the store in which it went.

    auto operator<=>(departed_target const&) const = default;
};

} // namespace knapweedstream::dispatch

#endif
