/// Holds signals back while no handlers for them are in place.
#ifndef KNAPWEEDSTREAM_APP_HELD_SIGNALS_HPP
#define KNAPWEEDSTREAM_APP_HELD_SIGNALS_HPP

#include <csignal>

namespace knapweedstream
{

/// Blocks SIGTERM, SIGINT and SIGHUP, whose default is to end the process.
/// Signals that arrive while a process starts are delivered after `release`;
/// those after `hold`, when it is about to exit, are not.
class held_signals
{
public:
    held_signals()
    {
        sigemptyset(&set_);
        for (auto const it : {SIGTERM, SIGINT, SIGHUP})
            sigaddset(&set_, it);
        hold();
    }

    /// True if a request to stop has arrived and is held back.
    auto stop_requested() const -> bool
    {
        auto pending = sigset_t{};
        sigpending(&pending);
        return sigismember(&pending, SIGTERM) == 1 ||
               sigismember(&pending, SIGINT) == 1;
    }

    auto hold() const -> void { sigprocmask(SIG_BLOCK, &set_, nullptr); }

    auto release() const -> void { sigprocmask(SIG_UNBLOCK, &set_, nullptr); }

private:
    sigset_t set_{};
};

} // namespace knapweedstream

#endif
