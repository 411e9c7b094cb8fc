/// The one loop: RAII over libevent.
#ifndef KNAPWEEDSTREAM_ADAPTER_EVENT_LOOP_HPP
#define KNAPWEEDSTREAM_ADAPTER_EVENT_LOOP_HPP

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

/// How precise a loop's timers are; fine ones cost a system call a turn.
enum class timer_precision : std::uint8_t
{
    fine,   ///< Microseconds.
    coarse, ///< Milliseconds.
};

/// Makes a loop.
auto make_event_base(timer_precision precision = timer_precision::fine)
    -> event_base_ptr;

/// A callback that the loop runs at a time, on a signal or on a descriptor.
class loop_event
{
public:
    using callback = std::function<void()>;

    /// Timer: armed by `at`, or run once more in this turn by `soon`.
    loop_event(event_base* base, callback f);

    /// Signal or readable descriptor, from now on.
    loop_event(event_base* base, int fd_or_signal, short what, callback f);

    loop_event(loop_event const&) = delete;
    auto operator=(loop_event const&) -> loop_event& = delete;

    /// Runs the callback after `wait`; replaces an earlier call.
    auto after(duration wait) -> void;

    /// Takes back an earlier `after`.
    auto stop() -> void { event_del(event_.get()); }

    /// Runs the callback when the events that are ready now are handled.
    auto activate() -> void;

private:
    callback callback_;
    event_ptr event_;
};

/// Present time of the node's time line.
auto steady_now() -> time_point;

/// Seconds since 1970.
auto wall_seconds() -> std::int64_t;

/// IP number and port of an address.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

/// Splits an address that was checked when it was read.
auto split_address(std::string const& address) -> host_port;

} // namespace knapweedstream

#endif
