/// Holds signals back until their handlers are in place.
#ifndef KNAPWEEDSTREAM_APP_HELD_SIGNALS_HPP
#define KNAPWEEDSTREAM_APP_HELD_SIGNALS_HPP

#include <csignal>

namespace knapweedstream
{

/// Blocks SIGTERM, SIGINT and SIGHUP, whose default is to end the process.
/// Signals that arrive while a process starts are delivered after `release`.
class held_signals
{
public:
    held_signals()
    {
        sigemptyset(&set_);
        for (auto const it : {SIGTERM, SIGINT, SIGHUP})
            sigaddset(&set_, it);
        sigprocmask(SIG_BLOCK, &set_, nullptr);
    }

    auto release() const -> void { sigprocmask(SIG_UNBLOCK, &set_, nullptr); }

private:
    sigset_t set_{};
};

} // namespace knapweedstream

#endif
