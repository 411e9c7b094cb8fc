/// Exchange of observations between instances through the store: this
/// instance's report, and those of the others.
///
/// An instance writes a report only when it has something to report.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_REPORTS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_REPORTS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Takes over the report of another instance. This instance's own is written
/// again if the store has another one that this process has not written.
auto apply_report(dispatch_state& s, instance_report const& r,
    store_version version, time_point now) -> void;

/// Forgets the report of an instance.
auto drop_report(dispatch_state& s, std::string const& name) -> void;

/// Outcomes that the other instances report for a rollout of a service to a
/// version.
auto reported_outcomes(dispatch_state const& s, std::string const& service,
    std::string const& version) -> std::vector<route_outcomes>;

/// Crashes of targets that the other instances have reported lately.
auto reported_crashes(dispatch_state const& s, time_point now)
    -> std::vector<target_crash>;

/// Has this instance's report written soon if it has changed.
auto request_report(dispatch_state& s, time_point now) -> void;

/// Has this instance's report written again, if it has written one, since the
/// store may have lost it.
auto rewrite_report(dispatch_state& s, time_point now) -> void;

/// Writes this instance's report if it has changed.
auto on_report_due(dispatch_state& s, time_point now, commands& out) -> void;

/// Handles the result of writing this instance's report: a failed write is
/// repeated.
auto on_report_written(
    dispatch_state& s, store_written const& e, time_point now) -> void;

} // namespace knapweedstream::dispatch

#endif
