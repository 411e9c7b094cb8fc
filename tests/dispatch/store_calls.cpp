#include "dispatch/store_calls.hpp"

#include <knapweedstream/overloaded.hpp>

#include <algorithm>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto store_delay = milliseconds{5};
constexpr auto list_timeout = seconds{3};

auto page_of(store_call const& c, store_model const& store,
    answer_options const& options) -> event
{
    auto page =
        store_listed{c.kind, {}, "", options.revision, false, options.era};
    for (auto& it : store.objects_at(c.kind, options.revision))
    {
        if (!c.after.empty() && it.name <= c.after)
            continue;
        if (options.page_size != 0 && page.objects.size() == options.page_size)
        {
            page.next = page.objects.back().name;
            break;
        }
        page.objects.push_back(std::move(it));
    }
    return page;
}

auto check_answer(store_call const& c, store_model const& store,
    answer_options const& options) -> event
{
    auto changes = store.changes_after(c.kind, c.since);
    std::erase_if(changes, [&](stored_change const& it)
        { return it.object.revision > options.revision; });
    return store_checked{
        c.kind, c.since, std::move(changes), options.revision, {}, options.era};
}

auto success(store_kind kind, std::string name, std::uint64_t revision)
    -> store_written
{
    return {kind, std::move(name), revision, {}, {}};
}

auto refused(store_kind kind, std::string name, store_failure why)
    -> store_written
{
    return {kind, std::move(name), 0, why, {}};
}

/// Replaces an object of a revision (0: any), or creates one that must not
/// exist.
auto put(store_model& store, store_kind kind, stored_object o,
    std::optional<std::uint64_t> replaced, time_point now) -> store_written
{
    auto const name = o.name;
    auto const* known = store.find(kind, name);
    if (replaced && known == nullptr)
        return refused(kind, name, store_failure::missing);
    if (!replaced && known != nullptr)
        return refused(kind, name, store_failure::conflict);
    if (replaced && *replaced != 0 && *replaced != known->revision)
        return refused(kind, name, store_failure::conflict);
    if (known != nullptr && known->value == o.value)
        return success(kind, name, known->revision);
    return success(kind, name, store.write(kind, std::move(o), now));
}

auto put_state(store_model& store, store_write_order_state const& c,
    time_point now) -> store_written
{
    auto const* known = store.find(store_kind::rollouts, c.name);
    if (known == nullptr)
        return refused(store_kind::rollouts, c.name, store_failure::missing);
    if (known->revision != c.revision)
        return refused(store_kind::rollouts, c.name, store_failure::conflict);
    auto order = std::get<rollout_order>(known->value);
    order.state = c.state;
    return success(store_kind::rollouts, c.name,
        store.write(store_kind::rollouts, {c.name, 0, order}, now));
}

auto remove(store_model& store, store_kind kind, std::string const& name,
    time_point now) -> store_written
{
    if (store.find(kind, name) == nullptr)
        return refused(kind, name, store_failure::missing);
    store.remove(kind, name, now);
    return success(kind, name, store.newest());
}

} // namespace

auto call_of(command const& c, time_point now) -> std::optional<store_call>
{
    auto n = store_call{};
    n.at = now;
    n.answer_by = now + store_delay;
    if (auto const* it = std::get_if<store_list>(&c))
    {
        n.kind = it->kind;
        n.after = it->after;
        n.may_be_stale = it->may_be_stale;
        n.fails_at = now + list_timeout;
        return n;
    }
    if (auto const* it = std::get_if<store_watch>(&c))
    {
        n.kind = it->kind;
        n.type = call_type::watch;
        n.since = it->revision;
        n.may_be_stale = it->may_be_stale;
        n.answer_by = std::max(n.answer_by, now + it->wait);
        n.fails_at = now + it->timeout;
        return n;
    }
    if (auto const* it = std::get_if<store_check>(&c))
    {
        n.kind = it->kind;
        n.type = call_type::check;
        n.since = it->revision;
        n.may_be_stale = true;
        n.fails_at = now + it->timeout;
        return n;
    }
    return std::nullopt;
}

auto share_connection(store_call const& a, store_call const& b) -> bool
{
    return a.kind == b.kind &&
           (a.type == call_type::check) == (b.type == call_type::check);
}

auto is_due(store_call const& c, store_model const& store, time_point now)
    -> bool
{
    if (c.lost || now < c.at + store_delay)
        return false;
    return c.type != call_type::watch || now >= c.answer_by ||
           c.since > store.newest() || c.since < store.newest_of(c.kind);
}

auto answer_of(store_call const& c, store_model const& store,
    answer_options const& options) -> event
{
    if (c.type == call_type::list)
        return page_of(c, store, options);
    if (c.since > store.newest())
        return c.type == call_type::check
                   ? failure_of(c, store_failure::missing, options.era)
                   : event{store_compacted{c.kind, options.era}};
    if (c.type == call_type::check)
        return check_answer(c, store, options);
    return store_changed{c.kind, store.changes_after(c.kind, c.since),
        store.newest(), options.era};
}

auto failure_of(store_call const& c, store_failure why, store_era era) -> event
{
    if (c.type == call_type::check)
        return store_checked{c.kind, c.since, {}, 0, why, era};
    return store_failed{c.kind, why, era};
}

auto carry_out_write(store_model& store, command const& c, time_point now)
    -> std::optional<store_written>
{
    if (auto const* it = std::get_if<store_write_record>(&c))
        return put(store, store_kind::instances,
            {it->record.name, 0, it->record}, it->replaced, now);
    if (auto const* it = std::get_if<store_write_report>(&c))
        return put(store, store_kind::reports, {it->report.name, 0, it->report},
            it->exists ? std::optional{std::uint64_t{0}} : std::nullopt, now);
    if (auto const* it = std::get_if<store_write_order_state>(&c))
        return put_state(store, *it, now);
    if (auto const* it = std::get_if<store_delete_record>(&c))
        return remove(store, store_kind::instances, it->name, now);
    if (auto const* it = std::get_if<store_delete_report>(&c))
        return remove(store, store_kind::reports, it->name, now);
    return std::nullopt;
}

auto failed_write(command const& c, store_failure why)
    -> std::optional<store_written>
{
    using result = std::optional<store_written>;
    return std::visit(
        overloaded{[&](store_write_record const& it) -> result
            { return refused(store_kind::instances, it.record.name, why); },
            [&](store_write_report const& it) -> result
            { return refused(store_kind::reports, it.report.name, why); },
            [&](store_write_order_state const& it) -> result
            { return refused(store_kind::rollouts, it.name, why); },
            [&](store_delete_record const& it) -> result
            { return refused(store_kind::instances, it.name, why); },
            [&](store_delete_report const& it) -> result
            { return refused(store_kind::reports, it.name, why); },
            [](auto const&) -> result
            {
                return std::nullopt;
            }},
        c);
}

} // namespace knapweedstream::dispatch
