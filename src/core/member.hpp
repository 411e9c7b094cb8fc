/// Another instance as this node sees it.
#ifndef KNAPWEEDSTREAM_CORE_MEMBER_HPP
#define KNAPWEEDSTREAM_CORE_MEMBER_HPP

#include <knapweedstream/limits.hpp>
#include <knapweedstream/topology.hpp>

#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// State of another instance, from its messages and unanswered probes.
enum class member_state : std::uint8_t
{
    listed,    ///< Known by name; never heard from.
    alive,     ///< Heard from; no probe is overdue.
    suspected, ///< Does not answer; gets no new work.
};

/// An instance and the results of probing it.
struct member
{
    instance_info info;
    member_state state = member_state::listed;
    std::uint64_t incarnation = 0;
    time_point last_heard;
    time_point last_probed;
    time_point unanswered_since; ///< Oldest unanswered probe; 0 if none.
    time_point listed_at;  ///< Last listed by the platform, or first added.
    double rtt_us = 1'000; ///< Smoothed round-trip time.

    auto operator<=>(member const&) const = default;
};

/// Returns the member after it sent something: alive, with no unanswered probe.
inline auto with_heard(member const& m, time_point now) -> member
{
    auto next = m;
    next.state = member_state::alive;
    next.last_heard = now;
    next.unanswered_since = {};
    return next;
}

/// Returns the member with the round trip of a probe sent at `sent_at` and
/// answered at `now` included in its round-trip time.
inline auto with_rtt(member const& m, time_point sent_at, time_point now)
    -> member
{
    constexpr auto gain = 0.2;
    auto next = m;
    auto const sample = static_cast<double>((now - sent_at).count());
    next.rtt_us = m.rtt_us + gain * (sample - m.rtt_us);
    return next;
}

/// Returns the member after a probe was sent to it.
inline auto with_probe(member const& m, time_point now) -> member
{
    auto next = m;
    next.last_probed = now;
    if (m.unanswered_since == time_point{})
        next.unanswered_since = now;
    return next;
}

/// True if a probe has been unanswered for longer than `timeout`.
inline auto is_silent(member const& m, duration timeout, time_point now) -> bool
{
    return m.unanswered_since != time_point{} &&
           now - m.unanswered_since > timeout;
}

/// Returns the member as suspected, after it left a probe unanswered.
inline auto with_suspected(member const& m) -> member
{
    auto next = m;
    next.state = member_state::suspected;
    return next;
}

/// True if new work may be sent to the member.
inline auto takes_work(member const& m) -> bool
{
    return m.state == member_state::alive && !m.info.leaving;
}

} // namespace knapweedstream

#endif
