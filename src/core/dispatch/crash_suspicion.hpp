/// Recognises requests that crash targets, by their content, over all requests
/// and instances ("queries of death").
///
/// A request that was lost together with its connection is remembered. If its
/// target is then found to have ended, the crash is held against the request's
/// content and reported to the other instances. Content that is held to have
/// crashed several targets, and that no target has answered, is refused.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CRASH_SUSPICION_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CRASH_SUSPICION_HPP

#include <knapweedstream/exchange.hpp>
#include <knapweedstream/ids.hpp>
#include <knapweedstream/report.hpp>

#include <deque>
#include <set>
#include <span>
#include <vector>

namespace knapweedstream::dispatch
{

/// A request that was in flight when the connection to its target was lost.
struct lost_request
{
    fingerprint print;
    std::string target;
    std::int64_t started_ms = 0; ///< Start of the target, as registered.
    time_point at;

    auto operator<=>(lost_request const&) const = default;
};

/// A crash that this instance holds against a request.
struct suspected_crash
{
    target_crash value;
    time_point at;

    auto operator<=>(suspected_crash const&) const = default;
};

/// What this instance knows about requests that may crash targets.
struct crash_suspicions
{
    std::deque<lost_request> lost;       ///< Oldest first; bounded.
    std::deque<suspected_crash> crashes; ///< Oldest first; bounded.

    auto operator<=>(crash_suspicions const&) const = default;
};

/// Identifies the content of a request: method, host, path, query and body.
auto print_of(routed_request const& r) -> fingerprint;

/// Records a lost request.
auto with_lost(crash_suspicions const& c, lost_request const& l)
    -> crash_suspicions;

/// Records that a target was found to have ended: requests that it was lost
/// with shortly before are held responsible.
auto with_ended(crash_suspicions const& c, std::string const& target,
    time_point now) -> crash_suspicions;

/// Records that a target has answered a request with this content.
auto with_answered(crash_suspicions const& c, fingerprint print)
    -> crash_suspicions;

/// Forgets what is too old to matter.
auto without_expired(crash_suspicions const& c, time_point now)
    -> crash_suspicions;

/// True if requests with this content have crashed so many targets that they
/// are refused.
///
/// @param[in] reported Crashes that other instances report.
auto is_deadly(crash_suspicions const& c,
    std::span<target_crash const> reported, fingerprint print) -> bool;

} // namespace knapweedstream::dispatch

#endif
