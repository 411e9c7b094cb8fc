#include "adapter/store_client.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto call_timeout = seconds{3}; ///< Until the response.

/// Wait of the watch that a check sends: the store answers practically at once.
constexpr auto check_wait = milliseconds{1};

auto channel_name(char const* use, store_kind kind) -> std::string
{
    return use + std::to_string(static_cast<int>(kind));
}

/// Converts the response to the watch that a check sends to the result of the
/// check.
auto to_check_result(dispatch::store_check const& c, dispatch::event&& answer)
    -> dispatch::event
{
    auto out = dispatch::store_checked{};
    out.kind = c.kind;
    out.since = c.revision;
    if (auto* const changed = std::get_if<dispatch::store_changed>(&answer))
    {
        out.changes = std::move(changed->changes);
        out.revision = changed->revision;
        out.era = changed->era;
    }
    else if (auto* const failed = std::get_if<dispatch::store_failed>(&answer))
    {
        out.failure = failed->failure;
        out.era = failed->era;
    }
    else if (auto* const gone = std::get_if<dispatch::store_compacted>(&answer))
    {
        out.failure = store_failure::missing; // The changes were compacted.
        out.era = gone->era;
    }
    return out;
}

auto follow_failure(store_kind kind)
{
    return [kind](store_failure why) -> dispatch::event
    {
        return dispatch::store_failed{kind, why, {}};
    };
}

auto failure_of(link_end how, bool in_time) -> store_failure
{
    if (!in_time)
        return store_failure::timeout;
    return how == link_end::garbled ? store_failure::unreadable
                                    : store_failure::unreachable;
}

} // namespace

store_client::store_client(loop_ref base, std::string const& address,
    store_codec codec, dispatch_sink sink)
    : base_(base), address_(address), codec_(std::move(codec)),
      sink_(std::move(sink))
{
}

auto store_client::run(dispatch::store_list const& c) -> void
{
    auto const kind = c.kind;
    call(
        channel_name("follow-", kind),
        codec_.list(kind, c.after, c.may_be_stale), call_timeout,
        [this, kind](http_message const& m)
        { return codec_.read_list(kind, m); },
        follow_failure(kind));
}

auto store_client::run(dispatch::store_watch const& c) -> void
{
    auto const kind = c.kind;
    call(
        channel_name("follow-", kind), codec_.watch(c), c.timeout,
        [this, kind](http_message const& m)
        { return codec_.read_watch(kind, m); },
        follow_failure(kind));
}

auto store_client::run(dispatch::store_check const& c) -> void
{
    auto const request =
        dispatch::store_watch{c.kind, c.revision, check_wait, true, c.timeout};
    call(
        channel_name("check-", c.kind), codec_.watch(request), c.timeout,
        [this, c](http_message const& m)
        { return to_check_result(c, codec_.read_watch(c.kind, m)); },
        [c](store_failure why) -> dispatch::event {
            return to_check_result(c, dispatch::store_failed{c.kind, why, {}});
        });
}

auto store_client::run(dispatch::store_write_record const& c) -> void
{
    write("write", store_kind::instances, c.record.name,
        codec_.record(c.record, c.replaced));
}

auto store_client::run(dispatch::store_write_order_state const& c) -> void
{
    write(
        "order-" + c.name, store_kind::rollouts, c.name, codec_.order_state(c));
}

auto store_client::run(dispatch::store_delete_record const& c) -> void
{
    write("write", store_kind::instances, c.name,
        codec_.remove(store_kind::instances, c.name));
}

auto store_client::run(dispatch::store_write_report const& c) -> void
{
    write("report", store_kind::reports, c.report.name,
        codec_.report(c.report, c.exists));
}

auto store_client::run(dispatch::store_delete_report const& c) -> void
{
    write("report", store_kind::reports, c.name,
        codec_.remove(store_kind::reports, c.name));
}

auto store_client::write(std::string const& channel_key, store_kind kind,
    std::string const& name, http_message const& m) -> void
{
    call(
        channel_key, m, call_timeout,
        [this, kind, name](http_message const& answer)
        { return codec_.read_write(kind, name, answer); },
        [kind, name](store_failure why) -> dispatch::event {
            return dispatch::store_written{kind, name, 0, why, {}};
        });
}

auto store_client::call(std::string const& name, http_message const& m,
    duration limit, reply_decoder decode_reply, failure_builder make_failure)
    -> void
{
    ++calls_;
    auto& c = channels_.try_emplace(name, base_, address_).first->second;
    c.call(
        m, limit,
        [this, decode_reply = std::move(decode_reply)](http_message const& it)
        { sink_(decode_reply(it)); },
        [this, make_failure = std::move(make_failure)](
            link_end how, bool in_time)
        {
            if (!in_time)
                drop_idle();
            sink_(make_failure(failure_of(how, in_time)));
        });
}

auto store_client::drop_idle() -> void
{
    for (auto& [name, it] : channels_)
        it.drop_idle();
}

auto store_client::free_closed() -> void
{
    for (auto& [name, it] : channels_)
        it.free_closed();
}

} // namespace knapweedstream
