#include "adapter/store_client.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto call_limit = seconds{3};  ///< For a call's answer.
constexpr auto watch_slack = seconds{2}; ///< Beyond a watch's wait.
constexpr auto unacked_limit = milliseconds{2'000};
constexpr auto probe_after = seconds{2};
constexpr auto max_reply_header = std::size_t{64} << 10;
constexpr auto max_reply_body = std::size_t{8} << 20;

constexpr auto check_wait = milliseconds{1}; ///< A check does not wait.

auto channel_name(char const* use, store_kind kind) -> std::string
{
    return use + std::to_string(static_cast<int>(kind));
}

/// The answer to a watch that did not wait, as the answer to a check.
auto as_check(dispatch::store_check const& c, dispatch::event&& answer)
    -> dispatch::event
{
    auto out = dispatch::store_checked{};
    out.kind = c.kind;
    out.since = c.revision;
    if (auto* const changed = std::get_if<dispatch::store_changed>(&answer))
    {
        out.changes = std::move(changed->changes);
        out.revision = changed->revision;
    }
    else if (auto* const failed = std::get_if<dispatch::store_failed>(&answer))
        out.failure = failed->failure;
    else
        out.failure = store_failure::missing; // The history is gone.
    return out;
}

auto failed_follow(store_kind kind)
{
    return [kind](store_failure why) -> dispatch::event
    {
        return dispatch::store_failed{kind, why};
    };
}

} // namespace

store_client::store_client(event_base* base, std::string const& address,
    store_dialect dialect, dispatch_sink sink)
    : base_(base), address_(address), dialect_(std::move(dialect)),
      sink_(std::move(sink))
{
}

auto store_client::run(dispatch::store_list const& c) -> void
{
    auto const kind = c.kind;
    call(
        channel_name("follow-", kind),
        dialect_.list(kind, c.after, c.may_be_stale), call_limit,
        [this, kind](http_message const& m)
        { return dialect_.read_list(kind, m); },
        failed_follow(kind));
}

auto store_client::run(dispatch::store_watch const& c) -> void
{
    auto const kind = c.kind;
    call(
        channel_name("follow-", kind), dialect_.watch(c), c.wait + watch_slack,
        [this, kind](http_message const& m)
        { return dialect_.read_watch(kind, m); },
        failed_follow(kind));
}

auto store_client::run(dispatch::store_check const& c) -> void
{
    auto const asks =
        dispatch::store_watch{c.kind, c.revision, check_wait, true};
    call(
        channel_name("check-", c.kind), dialect_.watch(asks), call_limit,
        [this, c](http_message const& m)
        { return as_check(c, dialect_.read_watch(c.kind, m)); },
        [c](store_failure why) -> dispatch::event {
            return as_check(c, dispatch::store_failed{c.kind, why});
        });
}

auto store_client::run(dispatch::store_write_record const& c) -> void
{
    write("write", store_kind::instances, c.record.name,
        dialect_.record(c.record, c.exists));
}

auto store_client::run(dispatch::store_write_order_state const& c) -> void
{
    write("order-" + c.name, store_kind::rollouts, c.name,
        dialect_.order_state(c));
}

auto store_client::run(dispatch::store_delete_record const& c) -> void
{
    write("write", store_kind::instances, c.name, dialect_.remove(c.name));
}

auto store_client::write(std::string const& over, store_kind kind,
    std::string const& name, http_message const& m) -> void
{
    call(
        over, m, call_limit,
        [this, kind, name](http_message const& answer)
        { return dialect_.read_write(kind, name, answer); },
        [kind, name](store_failure why) -> dispatch::event {
            return dispatch::store_written{kind, name, 0, why};
        });
}

auto store_client::call(std::string const& name, http_message const& m,
    duration limit, reader read, failed fail) -> void
{
    ++calls_;
    auto& c = channels_[name];
    if (c.waits)
        drop_link(c); // Its answer is no longer wanted.
    c.waits = true;
    c.read = std::move(read);
    c.fail = std::move(fail);
    if (c.timeout == nullptr)
        c.timeout = std::make_unique<loop_event>(
            base_, [this, name] { end(name, store_failure::timeout); });
    c.timeout->after(limit);
    if (c.link == nullptr || !c.link->is_open())
        connect(name, c);
    auto request = m;
    request.fields.push_back({"Host", address_});
    c.link->send(request_text(request));
}

auto store_client::connect(std::string const& name, channel& c) -> void
{
    drop_link(c);
    c.link = std::make_unique<http_link>(base_, address_,
        stream_options{unacked_limit, probe_after},
        read_limits{max_reply_header, max_reply_body},
        http_link::callbacks{{},
            [this, name](http_message const& m, bool reusable)
            { on_replied(name, m, reusable); },
            [this, name](link_end how)
            {
                end(name, how == link_end::garbled
                              ? store_failure::unreadable
                              : store_failure::unreachable);
            }});
}

auto store_client::on_replied(
    std::string const& name, http_message const& m, bool reusable) -> void
{
    auto& c = channels_.at(name);
    if (!c.waits)
        return;
    c.waits = false;
    c.timeout->stop();
    auto e = c.read(m);
    if (!reusable)
        drop_link(c);
    sink_(std::move(e));
}

auto store_client::end(std::string const& name, store_failure why) -> void
{
    auto& c = channels_.at(name);
    drop_link(c);
    if (!c.waits)
        return;
    c.waits = false;
    sink_(c.fail(why));
}

auto store_client::drop_link(channel& c) -> void
{
    if (c.link == nullptr)
        return;
    c.link->close();
    closed_.push_back(std::move(c.link));
}

} // namespace knapweedstream
