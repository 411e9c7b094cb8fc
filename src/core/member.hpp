/// One other instance as this node sees it.
#ifndef KNAPWEEDSTREAM_CORE_MEMBER_HPP
#define KNAPWEEDSTREAM_CORE_MEMBER_HPP

#include <knapweedstream/limits.hpp>
#include <knapweedstream/topology.hpp>

#include <compare>
#include <cstdint>

namespace knapweedstream
{

/// Known from the platform's list; has not answered a probe.
enum class member_state : std::uint8_t
{
    listed,    ///< Only named by the platform's list.
    alive,     ///< Answers.
    suspected, ///< Does not answer; gets no new work.
};

/// An instance and what its probes have shown.
struct member
{
    instance_info info;
    member_state state = member_state::listed;
    std::uint64_t incarnation = 0;
    time_point last_heard;
    time_point last_probed;
    time_point unanswered_since; ///< Oldest probe without answer, or 0.
    time_point listed_at;        ///< Last seen in the platform's list.
    double rtt_us = 1'000;       ///< Smoothed round trip.

    auto operator<=>(member const&) const = default;
};

/// The member sent something.
inline auto with_heard(member const& m, time_point now) -> member
{
    auto next = m;
    next.state = member_state::alive;
    next.last_heard = now;
    next.unanswered_since = {};
    return next;
}

/// The member answered a probe sent at `sent_at`.
inline auto with_rtt(member const& m, time_point sent_at, time_point now)
    -> member
{
    constexpr auto gain = 0.2;
    auto next = m;
    auto const sample = static_cast<double>((now - sent_at).count());
    next.rtt_us = m.rtt_us + gain * (sample - m.rtt_us);
    return next;
}

/// A probe was sent to the member.
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

/// The member left a message unanswered.
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
