/// Relays: instances that call the store and pass changes on to the others of
/// their availability zone. Load: hundreds of instances, whose calls would
/// otherwise grow with their number.
///
/// A relay decides nothing, and no promise depends on one. Whoever asks an
/// instance makes it a relay, so that instances with different views of the
/// fleet need not agree. An instance whose relay is silent, gone, behind the
/// store or cut off from it asks a second one, and then calls the store itself.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_RELAYS_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_RELAYS_HPP

#include "core/dispatch/tables.hpp"

namespace knapweedstream::dispatch
{

/// Instances that this one may ask, the preferred one first. Empty if it is to
/// call the store itself: it is a relay, or its zone is too small.
auto relay_candidates(instance_record const& self,
    std::map<std::string, instance_record> const& instances)
    -> std::vector<instance_record>;

/// Answers another instance's question, now or when there are changes.
auto on_relay_asked(dispatch_state& s, relay_asked const& e, time_point now,
    commands& out) -> void;

/// Takes over what the relay has passed on.
auto on_relay_replied(dispatch_state& s, relay_replied const& e, time_point now,
    commands& out) -> void;

/// Turns to the next relay or to the store.
auto on_relay_failed(dispatch_state& s, relay_failed const& e, time_point now,
    commands& out) -> void;

/// Asks a relay if it is time to; ends the wait of questions.
auto on_relay_due(dispatch_state& s, time_point now, commands& out) -> void;

/// Answers the waiting questions for which there are changes, or all of them if
/// this instance can no longer pass changes on.
auto answer_relay_callers(dispatch_state& s, time_point now, commands& out)
    -> void;

/// True if other instances may ask this one for the store's objects.
auto passes_on(dispatch_state const& s) -> bool;

/// True if other instances get changes from this one.
auto is_relay(dispatch_state const& s, time_point now) -> bool;

/// Limits of following the store: a relay waits less between its watches and
/// checks them more often, since the others wait for it.
auto follow_limits(dispatch_state const& s, time_point now) -> dispatch_limits;

} // namespace knapweedstream::dispatch

#endif
