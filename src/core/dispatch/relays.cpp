#include "core/dispatch/relays.hpp"

#include "core/dispatch/catalog.hpp"
#include "core/dispatch/eras.hpp"
#include "core/dispatch/stop.hpp"
#include "core/dispatch/store_events.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

/// Relays of a zone, each asked by an equal part of the others.
constexpr auto relays_per_zone = std::size_t{2};
/// Candidates that an instance tries, including those relays.
constexpr auto max_candidates = std::size_t{3};
/// Relays that may fail in a row until the instance calls the store itself.
constexpr auto max_failures = 2u;
/// Smallest number of instances of a zone for which relays save calls.
constexpr auto min_zone_size = std::size_t{7};
/// How long an instance stays a relay after it was last asked.
constexpr auto relay_kept = seconds{30};
/// How long a relay that has failed is not asked.
constexpr auto avoided_for = seconds{10};
/// Delay before relays are looked for again once none has served.
constexpr auto retry_pause = seconds{5};
/// First look for relays after the start; the list of instances has been read
/// by then.
constexpr auto first_look = seconds{2};
/// Longest wait of a question.
constexpr auto longest_wait = seconds{5};
/// Fraction of the drain time that a question may wait for a change, and that
/// its answer may be late. Together with the question to a second relay this
/// stays below half of the drain time.
constexpr auto wait_parts = 5;
constexpr auto late_parts = 10;
/// A relay checks its watches so many times as often, since what it misses
/// reaches the others later still.
constexpr auto relay_checks = 2;
/// Instances spread their calls over this time when they turn to the store.
constexpr auto direct_spread = milliseconds{100};

auto wait_of(dispatch_state const& s) -> milliseconds
{
    return s.init.bounds.drain / wait_parts;
}

auto lateness_of(dispatch_state const& s) -> milliseconds
{
    return s.init.bounds.drain / late_parts;
}

/// True if this instance knows all kinds from the store itself, or is just
/// reading them afresh, and is in contact with it.
auto can_serve(dispatch_state const& s, time_point now) -> bool
{
    if (s.stop.requested || s.contact.probing || s.source.active)
        return false;
    return std::all_of(s.follows.begin(), s.follows.end(),
        [&](auto const& it)
        {
            auto const& f = it.second;
            auto const is_read =
                f.known.revision != 0 ||
                (f.restarted_at && now < *f.restarted_at + lateness_of(s));
            return f.failures == 0 && is_read;
        });
}

auto reply_to(dispatch_state const& s, std::vector<relay_position> const& known,
    time_point now) -> relay_reply
{
    auto r = relay_reply{can_serve(s, now), {}};
    if (!r.serving)
        return r;
    for (auto const& it : known)
    {
        auto const f = s.follows.find(it.kind);
        if (f == s.follows.end() || f->second.known.revision == 0 ||
            f->second.known <= it.version)
            continue;
        auto const copy = s.replicas.find(it.kind);
        if (copy != s.replicas.end())
            r.updates.push_back(
                update_after(copy->second, it, f->second.known, now));
    }
    return r;
}

auto has_news(relay_reply const& r) -> bool
{
    return !r.serving || std::any_of(r.updates.begin(), r.updates.end(),
                             [](auto const& it)
                             { return it.complete || !it.changes.empty(); });
}

/// True if relays pass a kind on. Each instance lists the instances itself:
/// they share budgets and connections by their number, and a wrong number that
/// all have at the same time would add up.
auto is_passed_on(dispatch_state const& s, store_kind kind) -> bool
{
    return std::holds_alternative<by_watch>(policy_of(kind, s.init.limits));
}

auto positions_of(dispatch_state const& s) -> std::vector<relay_position>
{
    auto out = std::vector<relay_position>{};
    for (auto const& [kind, f] : s.follows)
        if (is_passed_on(s, kind))
            out.push_back({kind, f.known});
    return out;
}

/// Era in which an instance knows a kind; empty if the store has stated none.
auto stated_era(store_version version) -> store_era
{
    return version.era == 0 ? store_era{} : store_era{version.era};
}

auto report_source(dispatch_state const& s, char const* reason, commands& out)
    -> void
{
    out.push_back(report_fact{
        store_source_changed{s.source.active ? s.source.name : std::string{},
            reason, s.contact.newest.revision}});
}

/// Lets every kind call the store again, including those that wait until the
/// kind that probes it gets an answer.
auto end_probing(dispatch_state& s, time_point now) -> void
{
    s.contact.probing.reset();
    for (auto const& [kind, f] : s.follows)
        if (std::holds_alternative<pausing>(f.phase))
            arm(s, now, follow_due{kind});
}

/// Follows the store by this instance's own calls.
auto follow_directly(dispatch_state& s, char const* reason, time_point now,
    commands& out) -> void
{
    auto const was_active = s.source.active;
    s.source.active = false;
    if (!was_active)
        return;
    for (auto& [kind, f] : s.follows)
    {
        if (!f.attached)
            continue;
        f = without_relay(f, now + scaled(direct_spread, draw_fraction(s)));
        if (auto const* it = std::get_if<pausing>(&f.phase))
            arm(s, it->until, follow_due{kind});
    }
    end_probing(s, now);
    report_source(s, reason, out);
}

/// Follows the store by what the relay passes on. A kind that probed the store
/// no longer does.
auto follow_relay(dispatch_state& s, time_point now, commands& out) -> void
{
    if (s.source.active)
        return;
    s.source.active = true;
    for (auto& [kind, f] : s.follows)
        if (is_passed_on(s, kind))
            f = with_relay(f);
    if (s.contact.probing && s.follows[*s.contact.probing].attached)
        end_probing(s, now);
    report_source(s, "served", out);
}

auto look_again(dispatch_state& s, time_point when) -> void
{
    s.source.retry_at = when;
    arm(s, when, relay_due{});
}

/// Candidates that have not failed lately.
auto usable_candidates(dispatch_state& s, time_point now)
    -> std::vector<instance_record>
{
    std::erase_if(
        s.source.avoided, [&](auto const& it) { return it.second <= now; });
    auto all = relay_candidates(s.init.self, s.instances);
    std::erase_if(all,
        [&](auto const& it) { return s.source.avoided.contains(it.name); });
    return all;
}

auto ask(dispatch_state& s, instance_record const& relay, milliseconds wait,
    commands& out) -> void
{
    s.source.name = relay.name;
    s.source.address = relay.relay_address;
    s.source.pending = true;
    out.push_back(ask_relay{relay.relay_address,
        {s.init.self.name, positions_of(s), wait}, wait + lateness_of(s)});
}

/// Asks the first usable candidate; if there is none, turns to the store.
auto ask_next(dispatch_state& s, char const* reason, time_point now,
    commands& out) -> void
{
    auto const all = usable_candidates(s, now);
    if (!all.empty())
        return ask(s, all.front(), milliseconds{0}, out);
    follow_directly(s, reason, now, out);
    look_again(s, now + retry_pause);
}

auto apply_update(dispatch_state& s, relay_update const& u, time_point now,
    commands& out) -> void
{
    auto era = stated_era(u.version);
    if (admit_era(s, era, "relay", now, out) == answer_era::outdated)
        return;
    if (u.complete)
    {
        auto objects = std::vector<stored_object>{};
        for (auto const& it : u.changes)
            objects.push_back(it.object);
        apply_list(s, u.kind, objects, u.version, now, out);
    }
    else
        apply_changes(s, u.kind, u.changes, u.version.era, now, out);
    auto& f = s.follows[u.kind];
    f = with_relayed(f, u.version, u.complete);
    s.contact = with_relayed_version(s.contact, u.version);
}

} // namespace

auto relay_candidates(instance_record const& self,
    std::map<std::string, instance_record> const& instances)
    -> std::vector<instance_record>
{
    auto zone = std::vector<instance_record>{self};
    for (auto const& [name, it] : instances)
        if (name != self.name && it.zone == self.zone &&
            !it.relay_address.empty())
            zone.push_back(it);
    if (self.relay_address.empty() || zone.size() < min_zone_size)
        return {};
    auto const rank = [](instance_record const& it)
    {
        return hash_name(it.name, hash_name("relay"));
    };
    std::sort(zone.begin(), zone.end(),
        [&](auto const& a, auto const& b) { return rank(a) < rank(b); });
    auto const mine = std::find(zone.begin(), zone.end(), self);
    if (static_cast<std::size_t>(mine - zone.begin()) < relays_per_zone)
        return {};
    zone.erase(mine);
    zone.resize(std::min(zone.size(), max_candidates));
    if (hash_name(self.name) % relays_per_zone != 0)
        std::swap(zone[0], zone[1]);
    return zone;
}

auto passes_on(dispatch_state const& s) -> bool
{
    return !s.init.self.relay_address.empty();
}

auto is_relay(dispatch_state const& s, time_point now) -> bool
{
    return now < s.relaying.until;
}

auto follow_limits(dispatch_state const& s, time_point now) -> dispatch_limits
{
    auto l = s.init.limits;
    if (is_relay(s, now))
    {
        l.targets_pause = std::min(l.targets_pause, l.relay_pause);
        l.targets_check /= relay_checks;
        l.watch_check /= relay_checks;
    }
    return l;
}

auto on_relay_asked(dispatch_state& s, relay_asked const& e, time_point now,
    commands& out) -> void
{
    for (auto const& it : e.request.known)
    {
        auto era = stated_era(it.version);
        admit_era(s, era, "question", now, out);
    }
    s.relaying.until = now + relay_kept;
    prioritize_targets(s, now, out);
    follow_directly(s, "asked by another instance", now, out);
    auto const r = reply_to(s, e.request.known, now);
    if (has_news(r) || e.request.wait <= milliseconds{0})
    {
        ++s.stats.relay_answers;
        out.push_back(answer_relay{{e.caller}, r});
        return;
    }
    auto const until =
        now + std::min(duration{e.request.wait}, duration{longest_wait});
    s.relaying.questions.push_back({e.caller, e.request.known, until});
    arm(s, until, relay_due{});
}

auto answer_relay_callers(dispatch_state& s, time_point now, commands& out)
    -> void
{
    // Instances that ask are mostly at the same positions.
    auto answers = std::map<std::vector<relay_position>, answer_relay>{};
    for (auto const& it : s.relaying.questions)
        if (!answers.contains(it.known))
            answers[it.known].reply = reply_to(s, it.known, now);
    std::erase_if(s.relaying.questions,
        [&](auto const& it)
        {
            auto& a = answers.at(it.known);
            if (!has_news(a.reply) && now < it.until)
                return false;
            a.callers.push_back(it.caller);
            return true;
        });
    for (auto& [known, it] : answers)
        if (!it.callers.empty())
        {
            s.stats.relay_answers += it.callers.size();
            out.push_back(std::move(it));
        }
}

auto on_relay_replied(dispatch_state& s, relay_replied const& e, time_point now,
    commands& out) -> void
{
    if (!s.source.pending || e.address != s.source.address)
        return;
    if (!e.reply.serving)
        return on_relay_failed(s, {e.address}, now, out);
    s.source.pending = false;
    s.source.failures = 0;
    for (auto const& it : e.reply.updates)
        if (is_passed_on(s, it.kind))
            apply_update(s, it, now, out);
    if (is_relay(s, now) || s.stop.requested)
    {
        follow_directly(s, "asked by another instance", now, out);
        return look_again(s, s.relaying.until);
    }
    follow_relay(s, now, out);
    update_ready(s, out);
    auto const all = usable_candidates(s, now);
    auto const again = std::find_if(all.begin(), all.end(),
        [&](auto const& it) { return it.name == s.source.name; });
    if (again == all.end())
        return ask_next(s, "the relay has left", now, out);
    ask(s, *again, wait_of(s), out);
}

auto on_relay_failed(dispatch_state& s, relay_failed const& e, time_point now,
    commands& out) -> void
{
    if (!s.source.pending || e.address != s.source.address)
        return;
    s.source.pending = false;
    s.source.avoided[s.source.name] = now + duration{avoided_for};
    ++s.stats.relay_failures;
    if (++s.source.failures < max_failures)
        return ask_next(s, "no relay serves", now, out);
    s.source.failures = 0;
    follow_directly(s, "no relay serves", now, out);
    look_again(s, now + retry_pause);
}

auto on_relay_due(dispatch_state& s, time_point now, commands& out) -> void
{
    answer_relay_callers(s, now, out);
    if (s.source.pending || now < s.source.retry_at || s.stop.requested)
        return;
    if (is_relay(s, now))
        return look_again(s, s.relaying.until);
    if (!has_initial_data(s) || s.instances.empty())
        return look_again(s, now + duration{first_look});
    ask_next(s, "no relay serves", now, out);
}

} // namespace knapweedstream::dispatch
