#include "adapter/leaf_client.hpp"

#include "adapter/json_api.hpp"

#include <charconv>

namespace knapweedstream
{

namespace
{

constexpr auto request_timeout = seconds{60};
constexpr auto control_timeout = seconds{1};
/// Bytes of a partial reply to a cancellation, which has no content.
constexpr auto max_cancel_reply = std::size_t{64} << 10;

template <class T>
auto parse_number(std::string_view text, T fallback) -> T
{
    auto v = T{};
    auto const r = std::from_chars(text.data(), text.data() + text.size(), v);
    return r.ec == std::errc{} ? v : fallback;
}

auto versions_of(std::string_view text) -> std::vector<std::uint64_t>
{
    constexpr auto max_versions = 64u;
    auto all = std::vector<std::uint64_t>{};
    while (!text.empty() && all.size() < max_versions)
    {
        auto const comma = std::min(text.find(','), text.size());
        all.push_back(parse_number(text.substr(0, comma), std::uint64_t{0}));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return all;
}

auto report_of(http_reply const& r) -> target_report
{
    return {{parse_number(r.field("X-Boot-Id"), std::uint64_t{1})},
        versions_of(r.field("X-Serves")), r.field("X-Draining") == "1"};
}

auto rows_of(http_reply const& r) -> leaf_outcome
{
    constexpr auto none = std::uint32_t{0xffffffff};
    auto rows = shard_rows{};
    rows.shard = {parse_number(r.field("X-Shard"), none)};
    rows.at = {parse_number(r.field("X-Epoch"), none),
        parse_number(r.field("X-Snapshot"), std::uint64_t{0})};
    return leaf::try_handle_all(
        [&]() -> leaf::result<leaf_outcome>
        {
            BOOST_LEAF_ASSIGN(rows.rows, parse_rows(r.body()));
            return leaf_rows{rows};
        },
        [] { return leaf_outcome{leaf_failed{0}}; });
}

auto outcome_of(http_reply const& r, bool booking) -> leaf_outcome
{
    constexpr auto cancelled = 499u;
    auto const status = r.status();
    if (status == 200 && booking)
        return leaf_booked{std::string(r.field("X-Reference"))};
    if (status == 200)
        return rows_of(r);
    if (status == 503 && r.field("X-Not-Run") == "1")
        return leaf_shed{};
    if (status == 409 && !booking)
        return leaf_wrong_snapshot{};
    if (status == cancelled)
        return leaf_cancelled{};
    return leaf_failed{status};
}

auto deadline_ms(duration left) -> std::string
{
    auto const us = std::max<duration::rep>(0, left.count());
    return std::to_string((us + 999) / 1000);
}

} // namespace

leaf_client::leaf_client(loop_ref base, event_sink sink)
    : base_(base), sink_(std::move(sink))
{
}

auto leaf_client::run(leaf_open const& c) -> void
{
    auto const id = c.connection;
    auto it =
        std::make_unique<http_connection>(base_, c.address, request_timeout,
            http_connection_callbacks{[this, id] { close(id, false); },
                [this, id]
                {
                    limit_reply(id);
                }});
    auto& stored = *connections_.emplace(id, std::move(it)).first->second;
    stored.send({EVHTTP_REQ_GET, "/v1/hello", {}, {}},
        [this, id](http_reply const& r) { on_hello(id, r); });
}

auto leaf_client::run(leaf_close const& c) -> void
{
    auto const it = connections_.find(c.connection);
    if (it == connections_.end())
        return;
    reply_memory_.forget(c.connection);
    closed_.push_back(std::move(it->second));
    connections_.erase(it);
}

auto leaf_client::run(leaf_search const& c) -> void
{
    auto const it = connections_.find(c.connection);
    if (it == connections_.end())
        return;
    it->second->send(
        {EVHTTP_REQ_POST, "/v1/search",
            {{"X-Request-Id", std::to_string(c.attempt.value)},
                {"X-Deadline-Ms", deadline_ms(c.time_left)},
                {"X-Shard", std::to_string(c.shard.value)},
                {"X-Epoch", std::to_string(c.at.epoch)},
                {"X-Snapshot", std::to_string(c.at.index_version)}},
            c.text},
        [this, id = c.connection](http_reply const& r)
        { on_answer(id, r, false); });
}

auto leaf_client::run(leaf_book const& c) -> void
{
    auto const it = connections_.find(c.connection);
    if (it == connections_.end())
        return;
    it->second->send({EVHTTP_REQ_POST, "/v1/book",
                         {{"X-Request-Id", std::to_string(c.attempt.value)},
                             {"X-Deadline-Ms", deadline_ms(c.time_left)},
                             {"X-Shard", std::to_string(c.shard.value)},
                             {"Idempotency-Key", c.key}},
                         c.text},
        [this, id = c.connection](http_reply const& r)
        { on_answer(id, r, true); });
}

auto leaf_client::run(leaf_cancel const& c) -> void
{
    auto& connection = cancel_connections_[c.address];
    if (!connection)
        connection =
            std::make_unique<http_connection>(base_, c.address, control_timeout,
                http_connection_callbacks{{}, [this, address = c.address]
                    {
                        limit_cancel(address);
                    }});
    connection->send(
        {EVHTTP_REQ_POST, "/v1/cancel",
            {{"X-Request-Id", std::to_string(c.attempt.value)}}, {}},
        [](http_reply const&) {});
}

auto leaf_client::free_closed() -> void
{
    closed_.clear();
}

auto leaf_client::on_hello(connection_id id, http_reply const& r) -> void
{
    reply_memory_.forget(id);
    if (r.status() == 200)
        sink_(leaf_opened{id, report_of(r)});
    else
        close(id, true);
}

auto leaf_client::on_answer(connection_id id, http_reply const& r, bool booking)
    -> void
{
    reply_memory_.forget(id);
    if (r.status() == 0)
        return close(id, false);
    constexpr auto none = std::uint64_t{0};
    auto const attempt =
        attempt_id{parse_number(r.field("X-Request-Id"), none)};
    sink_(leaf_answered{id, attempt, report_of(r), outcome_of(r, booking)});
}

auto leaf_client::limit_reply(connection_id id) -> void
{
    auto const it = connections_.find(id);
    if (it == connections_.end())
        return;
    reply_memory_.set(id, it->second->partial_bytes());
    while (auto const largest = reply_memory_.largest_beyond_limit())
        connections_.at(*largest)->refuse_reply();
}

auto leaf_client::limit_cancel(std::string const& address) -> void
{
    auto const it = cancel_connections_.find(address);
    if (it != cancel_connections_.end() &&
        it->second->partial_bytes() > max_cancel_reply)
        it->second->refuse_reply();
}

auto leaf_client::close(connection_id id, bool refused) -> void
{
    run(leaf_close{id});
    sink_(leaf_closed{id, refused});
}

} // namespace knapweedstream
