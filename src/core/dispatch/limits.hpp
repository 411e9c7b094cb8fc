/// Limits and bounds of the dispatcher, with defaults and units.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_LIMITS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_LIMITS_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>

namespace knapweedstream::dispatch
{

/// Limits of one instance.
struct dispatch_limits
{
    /// Subtracted from a request's deadline: time to return the answer.
    milliseconds answer_margin{12};
    std::uint32_t max_requests = 2'000; ///< Maximum number of open requests.

    /// Latency quantile after which a request is hedged. Not read: the
    /// quantile is fixed in `latency_estimate`.
    double hedge_quantile = 0.95;
    /// Bounds of the hedge delay, as multiples of the median latency.
    double min_hedge_factor = 1.3;
    double max_hedge_factor = 2.5;
    /// Hedge delay until enough latencies have been observed.
    milliseconds initial_hedge_delay{50};
    /// Added to the expected latency of a target in another region.
    milliseconds far_penalty{12};
    /// How long an abandoned attempt may continue before its connection is
    /// closed.
    milliseconds abandoned_timeout{400};
    /// Sends of a part that are allowed beyond the route's maximum of attempts.
    /// An attempt that the target refused without running it counts as a send
    /// only; one of which nothing was written counts as neither.
    std::uint32_t spare_sends = 4;

    milliseconds connect_timeout{400}; ///< For opening a connection.
    /// Delay before the next try after a connection could not be opened;
    /// doubles with each failure up to `reopen_most`.
    milliseconds reopen_first{50};
    milliseconds reopen_most{1'000};
    /// Consecutive failures to connect after which no request waits for the
    /// target any more.
    std::uint32_t failures_until_down = 4;
    /// An idle connection is closed this long before the target's idle limit,
    /// but not before half of it.
    milliseconds idle_margin{1'000};
    /// Longest idle time of a connection that an at-most-once request may use.
    milliseconds fresh_for{2'000};
    /// A new connection that is reset within this time, before it carried a
    /// request, exceeded the target's connection limit.
    milliseconds turned_away_within{500};
    /// A target that has too many connections resets a new one within the time
    /// to open one plus this.
    milliseconds turned_away_slack{5};
    /// Minimum share of a target's connection limit that the instances divide
    /// among themselves. The rest is left for borrowed connections, which are
    /// beyond an instance's share, and for new connections while those of lost
    /// instances are still open.
    double min_connection_share = 0.6;
    /// Maximum share of a target's connection limit that the instances divide.
    double max_connection_share = 0.85;
    /// Targets of each service that are connected to before a request needs
    /// them: in this region, and in other regions.
    std::uint32_t preconnect_near = 3;
    std::uint32_t preconnect_far = 3;
    /// Longest idle time of a borrowed connection: one beyond this instance's
    /// share.
    milliseconds borrowed_for{20};

    /// Consecutive requests without a reply within the hedge delay after which
    /// the target is suspended.
    std::uint32_t overdue_until_suspended = 2;
    /// First suspension of a target; doubles with each consecutive one up to
    /// `suspension_most`.
    milliseconds suspension_first{300};
    milliseconds suspension_most{2'000};
    /// Half-life of a target's observed slowness and failure rate.
    milliseconds estimate_half_life{2'000};
    /// How long after a store outage targets are kept whose registration
    /// vanished, since the registration may come back.
    milliseconds lapse_grace{2'200};

    /// How long a watch waits for changes. Must be shorter than the time for
    /// which the store keeps its history.
    milliseconds watch_wait{18'000};
    /// Delay before the next watch after one that returned changes.
    milliseconds watch_pause{100};
    /// The same delay for watches of other instances' reports, and the shortest
    /// time between two reports of this instance.
    milliseconds report_interval{500};
    /// The same delay for watches of target registrations.
    milliseconds targets_pause{2'000};
    /// The same delay until the first request needs the targets.
    milliseconds targets_idle_pause{6'000};
    /// The same delay at an instance from which others get the changes.
    milliseconds relay_pause{500};
    /// Delay between the first two lists of instances; doubles with each list
    /// up to `poll_most`.
    milliseconds poll_first{1'500};
    milliseconds poll_most{20'000};
    /// Longest interval of checks of waiting watches, and longest time until
    /// the answer to one. Both are shorter where a bound requires it.
    milliseconds watch_check{5'000};
    milliseconds targets_check{5'000}; ///< The same for targets.
    /// Delay before the next call after a failed one; doubles with each
    /// failure up to `store_retry_most` while no list of the kind has been
    /// read, and up to `store_retry_known` afterwards.
    milliseconds store_retry_first{200};
    milliseconds store_retry_most{500};
    milliseconds store_retry_known{740};
    /// Delay before a list is read again that could not be read to its end.
    milliseconds list_retry{2'000};

    auto operator<=>(dispatch_limits const&) const = default;
};

/// Bounds that the operators set for all instances together.
struct dispatch_bounds
{
    /// Extra requests to a service per first request, in each budget window.
    double retry_budget_ratio = 0.2;
    /// Extra requests to a service in each window on top of the ratio.
    std::uint32_t retry_budget_extra = 50;
    milliseconds budget_window{10'000};
    /// Time after which a draining target must get no new requests.
    milliseconds drain{4'000};
    /// Time after which a configuration must be in force.
    milliseconds config_apply{4'000};
    /// Time after which a zone's evacuation must be in force.
    milliseconds evacuate{5'000};
    milliseconds grace{6'000}; ///< From SIGTERM to SIGKILL.
    /// A cold target gets at most its stated rate times `warmup_factor` plus
    /// `warmup_slack` requests per second.
    double warmup_factor = 1.5;
    double warmup_slack = 5;
    /// Share of a service's requests, and number of requests on top, that a
    /// new version may get before it is known to be good.
    double exposure_share = 0.1;
    std::uint32_t exposure_slack = 50;

    auto operator<=>(dispatch_bounds const&) const = default;
};

} // namespace knapweedstream::dispatch

#endif
