#include "core/booking_entry.hpp"

#include "core/burn.hpp"
#include "core/entry.hpp"
#include "core/membership.hpp"
#include "core/routing.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream
{

namespace
{

/// Limit for the idempotency key and the item.
constexpr auto max_key_bytes = std::size_t{200};

auto count_outcome(node_stats const& before, booking_answer const& answer)
    -> node_stats
{
    auto next = before;
    std::visit(overloaded{[&](booking_done const&) { ++next.bookings_done; },
                   [&](booking_not_run const&) { ++next.bookings_not_run; },
                   [&](booking_unknown const&)
                   {
                       ++next.bookings_unknown;
                   }},
        answer);
    return next;
}

auto answer_caller(node_state& s, caller_id caller, std::string const& customer,
    booking_answer const& answer, commands& out) -> void
{
    report_counts(s, customer, count_booking(answer), out);
    s.stats = count_outcome(s.stats, answer);
    out.push_back(answer_booking{caller, answer});
}

/// Removes a booking, releases its admission slot and answers the caller.
auto close_booking(node_state& s, query_id id, booking_answer const& answer,
    commands& out) -> void
{
    auto const it = s.bookings.find(id);
    auto const c = s.customers.find(it->second.customer);
    if (c != s.customers.end() && c->second.open > 0)
        --c->second.open;
    auto const b = it->second;
    s.bookings.erase(it);
    answer_caller(s, b.caller, b.request.customer, answer, out);
}

auto bad_booking_field(booking_request const& r) -> std::optional<refusal>
{
    if (r.key.empty() || r.key.size() > max_key_bytes)
        return bad_field{"idempotency-key", "1 to 200 bytes"};
    if (r.item.empty() || r.item.size() > max_key_bytes)
        return bad_field{"item", "1 to 200 bytes"};
    return std::nullopt;
}

/// First owner of the item's shard that takes work; 0 if there is none.
auto find_executor(node_state const& s, service_entry const& service,
    std::string const& item) -> instance_id
{
    auto const n = service.shards.size();
    auto const& shard = service.shards[shard_of_item(item, n).value];
    for (auto const owner : shard.owners)
        if (can_take_work(s, owner))
            return owner;
    return {};
}

/// Sends the booking to the first working owner of its shard.
///
/// @param[in] wall_s Wall clock in seconds since 1970; 0 if not known.
/// @returns False if no owner works, or that owner has the booking already.
auto forward_booking(
    node_state& s, query_id id, std::int64_t wall_s, time_point now) -> bool
{
    auto& b = s.bookings.at(id);
    auto const service = find_service(s, b.request.customer, b.request.service);
    if (service == service_id{})
        return false;
    auto const to = find_executor(s, s.services.at(service), b.request.item);
    if (to == instance_id{} || to == b.executor)
        return false;
    auto next = b;
    next.executor = to;
    ++next.forwards;
    b = next;
    auto const margin = duration{s.init.limits.answer_margin};
    auto const left = std::max(duration{0}, b.deadline - now - margin);
    post(s, to, booking_forward{id, b.request, left, wall_s});
    if (to == s.self)
        return true;
    probe_if_quiet(s, to, now);
    arm(s, now + owner_timeout(s, to), booking_check_due{id});
    return true;
}

} // namespace

auto on_caller_booking(node_state& s, caller_booking const& e, time_point now,
    commands& out) -> void
{
    ++s.stats.bookings;
    auto const& r = e.request;
    auto reason = check_admission(s, r.customer, r.service, r.deadline);
    if (!reason)
        reason = bad_booking_field(r);
    if (reason)
        return answer_caller(
            s, e.caller, r.customer, booking_not_run{*reason}, out);
    auto const service = find_service(s, r.customer, r.service);
    auto const& info = s.services.at(service).info;
    auto b = pending_booking{};
    b.caller = e.caller;
    b.customer = id_of<customer_id>(r.customer);
    b.request = r;
    b.deadline =
        now + (r.deadline == milliseconds{0} ? info.deadline : r.deadline);
    auto const id = fresh_id<query_id>(s);
    ++s.customers.at(b.customer).open;
    s.bookings.emplace(id, b);
    arm(s, b.deadline, booking_check_due{id});
    if (!forward_booking(s, id, e.wall_s, now))
        close_booking(s, id, booking_not_run{no_target{}}, out);
}

auto on_booking_result(node_state& s, booking_result const& m, commands& out)
    -> void
{
    auto const it = s.bookings.find(m.id);
    if (it == s.bookings.end())
        return;
    // Another executor may still run the booking: "not run" is the outcome only
    // once all of them have answered so.
    auto& b = it->second;
    auto const not_run = std::holds_alternative<booking_not_run>(m.answer);
    b.not_run += not_run ? 1 : 0;
    if (!not_run || b.not_run == b.forwards)
        close_booking(s, m.id, m.answer, out);
}

auto on_booking_check_due(node_state& s, booking_check_due const& e,
    time_point now, commands& out) -> void
{
    auto const it = s.bookings.find(e.id);
    if (it == s.bookings.end())
        return;
    if (now >= it->second.deadline)
        return close_booking(s, e.id, booking_unknown{}, out);
    if (it->second.executor == s.self)
        return;
    if (check_peer(s, it->second.executor, now, out))
    {
        arm(s, now + owner_timeout(s, it->second.executor), e);
        return;
    }
    forward_booking(s, e.id, 0, now);
}

} // namespace knapweedstream
