/// Charges of attempts to the retry budget of their service: an attempt that is
/// not the first one of its part is charged until its target is known to have
/// read it, and for a window after that.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_CHARGES_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_CHARGES_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// An attempt has ended with a reply, or its target has closed the connection:
/// it arrives no more. Its charge passes on to the first attempt of the part if
/// that one is pending, as it is the one that arrives last.
auto settle(dispatch_state& s, attempt const& a, time_point now) -> void;

/// An attempt was given up without a reply. Its target may read it later.
auto keep_unread(dispatch_state& s, target_entry& t, attempt const& a,
    time_point now) -> void;

/// A target has replied to a request that was sent at a time: it has read what
/// was given up before.
auto settle_unread(dispatch_state& s, target_entry& t, time_point sent_at,
    time_point now) -> void;

/// Notes that a target has replied to this process, or closed the connection of
/// a request.
auto note_heard(target_entry& t, time_point now) -> void;

/// True if a target stood still as this process sent it the first request, and
/// has read what was sent to it before within the last window, or not yet.
auto has_read_late(
    dispatch_state const& s, target_entry const& t, time_point now) -> bool;

/// Settles what a target has not read for as long as charges are kept.
auto settle_expired(dispatch_state& s, target_entry& t, time_point now) -> void;

} // namespace knapweedstream::dispatch

#endif
