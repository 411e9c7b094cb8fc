/// Named limits of the dispatcher, with units.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_LIMITS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_LIMITS_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>

namespace knapweedstream::dispatch
{

/// Limits that hold for one instance.
struct dispatch_limits
{
    milliseconds answer_margin{12}; ///< Kept for the way back to the caller.
    std::uint32_t max_requests = 2'000; ///< Open at once.

    double hedge_quantile = 0.95;     ///< Hedge after this quantile of latency,
    double min_hedge_factor = 1.3;    ///< but not before this many medians
    double max_hedge_factor = 2.5;    ///< and not after this many.
    milliseconds first_patience{50};  ///< Before any latency is known.
    milliseconds far_penalty{12};     ///< A far target must be faster by this.
    milliseconds loser_patience{400}; ///< An abandoned attempt may still end.
    std::uint32_t spare_sends = 4;    ///< Sends of a shard beyond its attempts.

    milliseconds connect_timeout{400};     ///< Opening a connection.
    milliseconds reopen_first{50};         ///< Wait after a failed opening;
    milliseconds reopen_most{1'000};       ///< doubles up to this.
    std::uint32_t failures_until_down = 4; ///< Openings in a row that fail
                                           ///< until nothing waits for it.
    milliseconds idle_margin{1'000};      ///< Closed before the target does it.
    milliseconds fresh_for{2'000};        ///< Idle time that an at-most-once
                                          ///< request accepts.
    milliseconds turned_away_within{500}; ///< A new connection that breaks so
    ///< soon was one too many.
    milliseconds turned_away_slack{5}; ///< Beyond a round trip, likewise.
    double connection_share = 0.6;     ///< Of a target's limit: used at least;
    ///< the rest takes new connections while those of lost instances linger,
    ///< and borrowed ones.
    double most_connection_share = 0.85; ///< Likewise: used at most.
    std::uint32_t preconnect_near = 3;   ///< Targets of a service connected to
    std::uint32_t preconnect_far = 3;    ///< ahead of need, by region.
    milliseconds borrowed_for{20};       ///< Idle time of a connection beyond
                                         ///< this instance's share.

    std::uint32_t late_in_a_row =
        2; ///< Overdue requests that suspend a target.
    milliseconds suspension_first{300};     ///< A silent target gets a pause;
    milliseconds suspension_most{2'000};    ///< doubles up to this.
    milliseconds estimate_half_life{2'000}; ///< A target's bad figures fade.
    milliseconds lapse_grace{2'200}; ///< A registration that vanished around
                                     ///< an outage may come back.

    milliseconds watch_wait{18'000};     ///< A watch waits for changes; less
                                         ///< than the store keeps its history.
    milliseconds watch_pause{100};       ///< Between watches that bring some,
    milliseconds targets_pause{2'000};   ///< and for registrations.
    milliseconds poll_first{1'500};      ///< Between lists of instances;
    milliseconds poll_most{20'000};      ///< doubles up to this.
    milliseconds watch_check{5'000};     ///< Between checks of waiting watches.
    milliseconds store_retry_first{200}; ///< Wait after a failed call;
    milliseconds store_retry_most{500};  ///< doubles up to this while a kind
                                         ///< is unknown,
    milliseconds store_retry_known{1'500}; ///< and up to this afterwards.

    auto operator<=>(dispatch_limits const&) const = default;
};

/// Bounds that the operators state; sums over all instances.
struct dispatch_bounds
{
    double retry_budget_ratio = 0.2;       ///< Extra sends to a service, per
                                           ///< request for it,
    std::uint32_t retry_budget_extra = 50; ///< and on top of that, in a window.
    milliseconds budget_window{10'000};
    milliseconds drain{4'000};   ///< A leaving target gets nothing after it.
    milliseconds grace{6'000};   ///< From SIGTERM to SIGKILL.
    double warmup_factor = 1.5;  ///< A cold target's rate may be exceeded by
    double warmup_slack = 5;     ///< this factor and this much a second.
    double exposure_share = 0.1; ///< Of requests that a new version may get
    std::uint32_t exposure_slack = 50; ///< before it is known to be good.

    auto operator<=>(dispatch_bounds const&) const = default;
};

} // namespace knapweedstream::dispatch

#endif
