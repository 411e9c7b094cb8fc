/// The event loop and the clocks: RAII over libevent.
#ifndef KNAPWEEDSTREAM_ADAPTER_EVENT_LOOP_HPP
#define KNAPWEEDSTREAM_ADAPTER_EVENT_LOOP_HPP

#include "adapter/loop_turns.hpp"

#include <knapweedstream/time.hpp>

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedstream
{

struct event_base_deleter
{
    auto operator()(event_base* it) const -> void { event_base_free(it); }
};

struct event_deleter
{
    auto operator()(::event* it) const -> void { event_free(it); }
};

using event_base_ptr = std::unique_ptr<event_base, event_base_deleter>;
using event_ptr = std::unique_ptr<::event, event_deleter>;

/// Precision of a loop's timers. Fine timers cost one more system call per
/// iteration of the loop.
enum class timer_precision : std::uint8_t
{
    fine,   ///< Microseconds.
    coarse, ///< Milliseconds.
};

/// Creates an event loop.
auto make_event_base(timer_precision precision = timer_precision::fine)
    -> event_base_ptr;

/// Follows the turns of a loop. Callbacks that may begin a turn call `enter`.
class turn_clock
{
public:
    explicit turn_clock(event_base* base);

    /// A callback of an event that the loop has waited for runs.
    auto enter(time_point now) -> void;

    /// A callback that was activated in the turn has run, maybe after all
    /// others.
    auto leave(time_point now) -> void;

    auto times() const -> turn_times const& { return times_; }

private:
    static auto on_end(evutil_socket_t, short, void* arg) -> void;

    turn_times times_;
    time_point ended_; ///< End of the last turn.
    bool running_ = false;
    event_ptr end_event_; ///< Runs after the events of a turn.
};

/// A loop, and its turns if they are followed.
struct loop_ref
{
    // Converts, so that a loop whose turns nobody follows can be passed.
    loop_ref(event_base* b, turn_clock* t = nullptr) : base(b), turns(t) {}
    operator event_base*() const { return base; }

    event_base* base;
    turn_clock* turns;
};

/// Notes that a callback of the loop runs.
auto enter_turn(loop_ref const& loop) -> void;

/// Earliest time at which input can have arrived that is read now.
auto earliest_arrival(loop_ref const& loop) -> time_point;

/// A callback that the loop runs after a time, on a signal or when a
/// descriptor becomes readable.
class loop_event
{
public:
    using callback = std::function<void()>;

    /// Timer: `after` or `activate` makes the callback run once.
    loop_event(loop_ref loop, callback f);

    /// Runs the callback on each signal, or while the descriptor is readable.
    ///
    /// @param[in] what libevent flags: `EV_SIGNAL` or `EV_READ`.
    loop_event(loop_ref loop, int fd_or_signal, short what, callback f);

    loop_event(loop_event const&) = delete;
    auto operator=(loop_event const&) -> loop_event& = delete;

    /// Runs the callback once after `wait`; replaces an earlier call of
    /// `after`.
    auto after(duration wait) -> void;

    /// Cancels an earlier call of `after`.
    auto stop() -> void { event_del(event_.get()); }

    /// Runs the callback once, after the events that are ready now.
    auto activate() -> void;

private:
    static auto on_event(evutil_socket_t, short, void* arg) -> void;

    loop_ref loop_;
    callback callback_;
    event_ptr event_;
};

/// Current time of the clock that the node's timers and deadlines use; it never
/// goes back, and counts the time for which the machine is suspended.
auto steady_now() -> time_point;

/// Current time in seconds since 1970 (Unix time).
auto wall_seconds() -> std::int64_t;

/// IP address and port.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

/// Splits `host:port`. The text must be valid: addresses are checked when the
/// settings are read.
auto split_address(std::string const& address) -> host_port;

} // namespace knapweedstream

#endif
