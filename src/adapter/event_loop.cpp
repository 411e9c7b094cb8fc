#include "adapter/event_loop.hpp"

#include <algorithm>
#include <charconv>
#include <ctime>

namespace knapweedstream
{

auto make_event_base(timer_precision precision) -> event_base_ptr
{
    auto* config = event_config_new();
    if (precision == timer_precision::fine)
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    auto base = event_base_ptr{event_base_new_with_config(config)};
    event_config_free(config);
    return base;
}

turn_clock::turn_clock(event_base* base)
    : end_event_(event_new(base, -1, 0, on_end, this))
{
}

auto turn_clock::enter(time_point now) -> void
{
    if (running_)
        return;
    running_ = true;
    times_ = with_turn(times_, ended_, now);
    event_active(end_event_.get(), 0, 0);
}

auto turn_clock::leave(time_point now) -> void
{
    if (!running_)
        ended_ = now;
}

auto turn_clock::on_end(evutil_socket_t, short, void* arg) -> void
{
    auto* self = static_cast<turn_clock*>(arg);
    self->running_ = false;
    self->ended_ = steady_now();
}

auto enter_turn(loop_ref const& loop) -> void
{
    if (loop.turns != nullptr)
        loop.turns->enter(steady_now());
}

auto earliest_arrival(loop_ref const& loop) -> time_point
{
    return loop.turns == nullptr ? steady_now()
                                 : earliest_arrival(loop.turns->times());
}

loop_event::loop_event(loop_ref loop, callback f)
    : loop_(loop), callback_(std::move(f)),
      event_(event_new(loop, -1, 0, on_event, this))
{
}

loop_event::loop_event(loop_ref loop, int fd_or_signal, short what, callback f)
    : loop_(loop), callback_(std::move(f)),
      event_(event_new(loop, fd_or_signal,
          static_cast<short>(what | EV_PERSIST), on_event, this))
{
    event_add(event_.get(), nullptr);
}

auto loop_event::on_event(evutil_socket_t, short what, void* arg) -> void
{
    auto* self = static_cast<loop_event*>(arg);
    auto* turns = self->loop_.turns;
    if (what != 0)
        enter_turn(self->loop_);
    self->callback_();
    if (what == 0 && turns != nullptr)
        turns->leave(steady_now());
}

auto loop_event::after(duration wait) -> void
{
    auto const us = std::max<duration::rep>(0, wait.count());
    auto const tv = timeval{us / 1'000'000, us % 1'000'000};
    event_add(event_.get(), &tv);
}

auto loop_event::activate() -> void
{
    event_active(event_.get(), 0, 0);
}

auto steady_now() -> time_point
{
    // Unlike CLOCK_MONOTONIC it counts the time for which the machine was
    // suspended, so that deadlines and claims of before are seen to be over.
    auto t = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point{std::chrono::duration_cast<duration>(
        seconds{t.tv_sec} + std::chrono::nanoseconds{t.tv_nsec})};
}

auto wall_seconds() -> std::int64_t
{
    auto const t = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(t).count();
}

auto split_address(std::string const& address) -> host_port
{
    auto const colon = std::min(address.rfind(':'), address.size());
    auto it = host_port{address.substr(0, colon), 0};
    if (colon < address.size())
        std::from_chars(address.data() + colon + 1,
            address.data() + address.size(), it.port);
    return it;
}

} // namespace knapweedstream
