#include "adapter/route_server.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto sweep_interval = milliseconds{1'000};
/// Time for a caller to read the last response and close the connection.
constexpr auto max_linger = seconds{2};
/// A request whose head has arrived may take this many times the header
/// timeout, from its first byte.
constexpr auto body_timeout_factor = 4;
/// Bytes that a caller may send ahead while its request is being answered; if
/// it sends more, the connection is closed.
constexpr auto max_unparsed = std::size_t{1} << 20;
constexpr auto bad_request = 400u;
constexpr auto request_timeout = 408u;
constexpr auto body_too_large = 413u;
constexpr auto header_too_large = 431u;

auto status_of(read_error e) -> std::uint32_t
{
    switch (e)
    {
    case read_error::malformed:
        return bad_request;
    case read_error::header_too_large:
        return header_too_large;
    case read_error::body_too_large:
        return body_too_large;
    }
    return bad_request;
}

auto to_read_limits(caller_limits const& l) -> read_limits
{
    return {l.max_header_bytes, l.max_body_bytes};
}

} // namespace

/// What a connection waits for.
enum class session_state : std::uint8_t
{
    idle,      ///< The first byte of a request.
    reading,   ///< The rest of a request.
    answering, ///< The answer to its request.
    closing,   ///< The caller to close the connection.
};

/// A caller's connection.
struct route_server::session
{
    session_id id = 0;
    session_state state = session_state::idle;
    time_point state_since; ///< When `state` began.
    /// Earliest time at which the first byte of the request that is being read
    /// can have arrived.
    time_point arrived;
    http_reader reader;
    std::unique_ptr<tcp_stream> stream;
    std::string unparsed; ///< Received but not yet parsed.
    std::string request_id;
    bool close_after_answer = false;
    bool head_request = false;
    bool continue_sent = false; ///< `100 Continue` was sent.
    bool parsing = false; ///< `parse_received` is running; it is not reentrant.

    explicit session(read_limits const& limits)
        : reader(message_kind::request, limits)
    {
    }
};

route_server::route_server(
    loop_ref base, caller_codec codec, dispatch_sink sink)
    : base_(base), codec_(std::move(codec)), sink_(std::move(sink)),
      listener_(base, [this](int fd) { accept(fd); }),
      sweep_(base, [this] { sweep(); })
{
}

route_server::~route_server() = default;

auto route_server::start(std::string const& address) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(listener_.start(address, "callers"));
    sweep_.after(sweep_interval);
    return {};
}

auto route_server::accept(int fd) -> void
{
    auto const id = next_id_++;
    auto s = std::make_unique<session>(to_read_limits(limits_));
    s->id = id;
    s->state_since = steady_now();
    s->stream = std::make_unique<tcp_stream>(base_, fd,
        tcp_stream::callbacks{{},
            [this, id](std::string_view bytes) { on_received(id, bytes); }, {},
            [this, id](stream_end)
            {
                on_ended(id);
            }});
    ++stats_.accepted;
    auto& stream = *sessions_.emplace(id, std::move(s)).first->second->stream;
    // A request that has waited with its connection is read in the same turn,
    // which knows for how long.
    stream.read_now();
}

auto route_server::on_received(session_id id, std::string_view bytes) -> void
{
    auto const it = sessions_.find(id);
    if (it == sessions_.end())
        return;
    auto& s = *it->second;
    if (s.state == session_state::closing)
        return;
    if (s.unparsed.empty() && s.state != session_state::reading)
        s.arrived = earliest_arrival(base_);
    s.unparsed.append(bytes);
    if (s.state == session_state::answering)
    {
        if (s.unparsed.size() > max_unparsed)
            on_ended(id);
        return;
    }
    parse_received(s);
}

auto route_server::parse_received(session& s) -> void
{
    if (s.parsing)
        return;
    s.parsing = true;
    while (!s.unparsed.empty() && (s.state == session_state::idle ||
                                      s.state == session_state::reading))
    {
        auto const n = s.reader.feed(s.unparsed);
        s.unparsed.erase(0, n);
        if (s.reader.error())
            reject(s, status_of(*s.reader.error()));
        else if (s.reader.is_complete())
            submit(s);
        else
            wait_for_rest(s);
    }
    s.parsing = false;
}

auto route_server::wait_for_rest(session& s) -> void
{
    if (s.state == session_state::idle)
    {
        s.state = session_state::reading;
        s.state_since = steady_now();
    }
    if (s.reader.has_head() && !s.continue_sent &&
        has_field(s.reader.head(), "Expect"))
    {
        s.continue_sent = true;
        s.stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto route_server::submit(session& s) -> void
{
    auto m = s.reader.take();
    auto const now = steady_now();
    s.state = session_state::answering;
    s.state_since = now;
    s.close_after_answer = !m.keep_alive;
    s.head_request = m.method == "HEAD";
    s.continue_sent = false;
    auto request =
        std::make_shared<routed_request const>(codec_.decode(std::move(m)));
    s.request_id = request->id;
    sink_(dispatch::caller_request{
        caller_id{s.id}, std::move(request), now - s.arrived});
}

auto route_server::reject(session& s, std::uint32_t status) -> void
{
    ++(status == request_timeout ? stats_.timeouts : stats_.malformed);
    auto m = http_message{};
    m.status = status;
    s.close_after_answer = true;
    write(s, m);
}

auto route_server::write(session& s, http_message const& m) -> void
{
    auto out = m;
    s.close_after_answer = s.close_after_answer || draining_;
    out.keep_alive = !s.close_after_answer;
    s.stream->write(response_text(out, s.head_request));
    s.state_since = steady_now();
    s.state =
        s.close_after_answer ? session_state::closing : session_state::idle;
    if (s.close_after_answer)
        s.stream->shut_down();
}

auto route_server::run(dispatch::answer_caller const& c) -> void
{
    auto const it = sessions_.find(c.caller.value);
    if (it == sessions_.end())
        return;
    auto& s = *it->second;
    write(s, codec_.encode(c.answer, s.request_id));
    parse_received(s);
}

auto route_server::run(dispatch::set_caller_limits const& c) -> void
{
    limits_ = c.limits;
    for (auto const& [id, s] : sessions_)
        s->reader.set_limits(to_read_limits(limits_));
}

auto route_server::run(dispatch::drain_callers const&) -> void
{
    draining_ = true;
    for (auto const& [id, s] : sessions_)
        if (s->state == session_state::idle)
        {
            s->state = session_state::closing;
            s->state_since = steady_now();
            s->stream->shut_down();
        }
}

auto route_server::on_ended(session_id id) -> void
{
    auto const it = sessions_.find(id);
    if (it == sessions_.end())
        return;
    auto const had_request = it->second->state == session_state::answering;
    release(id);
    if (had_request)
        sink_(dispatch::caller_gone{caller_id{id}});
}

auto route_server::release(session_id id) -> void
{
    auto const it = sessions_.find(id);
    it->second->stream->close();
    closed_.push_back(std::move(it->second));
    sessions_.erase(it);
}

auto route_server::is_overdue(session const& s, time_point now) const -> bool
{
    auto const age = now - s.state_since;
    auto const exceeds = [&](duration limit)
    {
        return limit > duration{0} && age > limit;
    };
    switch (s.state)
    {
    case session_state::idle:
        return exceeds(limits_.idle_timeout);
    case session_state::reading:
        return exceeds(s.reader.has_head()
                           ? limits_.header_timeout * body_timeout_factor
                           : limits_.header_timeout);
    case session_state::answering:
        return false;
    case session_state::closing:
        return exceeds(max_linger);
    }
    return false;
}

auto route_server::sweep() -> void
{
    auto const now = steady_now();
    auto overdue = std::vector<session_id>{};
    for (auto const& [id, s] : sessions_)
        if (is_overdue(*s, now))
            overdue.push_back(id);
    for (auto const id : overdue)
    {
        auto& s = *sessions_.at(id);
        if (s.state == session_state::reading)
            reject(s, request_timeout);
        else
            release(id);
    }
    free_closed();
    sweep_.after(sweep_interval);
}

auto route_server::free_closed() -> void
{
    closed_.clear();
}

auto route_server::stats() const -> caller_stats
{
    auto f = stats_;
    f.open = sessions_.size();
    return f;
}

} // namespace knapweedstream
