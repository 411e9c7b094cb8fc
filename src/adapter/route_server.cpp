#include "adapter/route_server.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto sweep_interval = milliseconds{1'000};
constexpr auto linger = seconds{2}; ///< For the caller to read the end.
constexpr auto body_share = 4;      ///< A body may take this many times the
                                    ///< header's time.
constexpr auto max_pending = std::size_t{1} << 20; ///< Bytes read ahead.
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

/// What a session waits for.
enum class session_state : std::uint8_t
{
    idle,      ///< For the first byte of a request.
    reading,   ///< For the rest of a request.
    answering, ///< For the answer to its request.
    closing,   ///< For the caller to close.
};

/// One connection of a caller.
struct route_server::session
{
    session_id id = 0;
    session_state state = session_state::idle;
    time_point since; ///< Of this state.
    http_reader reader;
    std::unique_ptr<tcp_stream> stream;
    std::string pending; ///< Bytes behind the request that is answered.
    std::string request_id;
    bool last = false; ///< Close after the answer.
    bool to_head = false;
    bool continued = false; ///< The caller was told to send its body.
    bool in_loop = false;   ///< `read_on` is at work on it.

    explicit session(read_limits const& limits)
        : reader(message_kind::request, limits)
    {
    }
};

route_server::route_server(
    event_base* base, caller_dialect dialect, dispatch_sink sink)
    : base_(base), dialect_(std::move(dialect)), sink_(std::move(sink)),
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
    auto const id = next_++;
    auto s = std::make_unique<session>(to_read_limits(limits_));
    s->id = id;
    s->since = present();
    s->stream = std::make_unique<tcp_stream>(base_, fd,
        tcp_stream::callbacks{{},
            [this, id](std::string_view bytes) { on_received(id, bytes); }, {},
            [this, id](stream_end)
            {
                on_ended(id);
            }});
    ++figures_.accepted;
    sessions_.emplace(id, std::move(s));
}

auto route_server::on_received(session_id id, std::string_view bytes) -> void
{
    auto const it = sessions_.find(id);
    if (it == sessions_.end())
        return;
    auto& s = *it->second;
    if (s.state == session_state::closing)
        return;
    s.pending.append(bytes);
    if (s.state == session_state::answering)
    {
        if (s.pending.size() > max_pending)
            on_ended(id);
        return;
    }
    read_on(s);
}

auto route_server::read_on(session& s) -> void
{
    if (s.in_loop)
        return;
    s.in_loop = true;
    while (!s.pending.empty() && (s.state == session_state::idle ||
                                     s.state == session_state::reading))
    {
        auto const n = s.reader.feed(s.pending);
        s.pending.erase(0, n);
        if (s.reader.error())
            reject(s, status_of(*s.reader.error()));
        else if (s.reader.is_complete())
            take(s);
        else
            wait_for_rest(s);
    }
    s.in_loop = false;
}

auto route_server::wait_for_rest(session& s) -> void
{
    if (s.state == session_state::idle)
    {
        s.state = session_state::reading;
        s.since = present();
    }
    if (s.reader.has_head() && !s.continued &&
        has_field(s.reader.head(), "Expect"))
    {
        s.continued = true;
        s.stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto route_server::take(session& s) -> void
{
    auto m = s.reader.take();
    s.state = session_state::answering;
    s.since = present();
    s.last = !m.keep_alive;
    s.to_head = m.method == "HEAD";
    s.continued = false;
    auto request =
        std::make_shared<routed_request const>(dialect_.decode(std::move(m)));
    s.request_id = request->id;
    sink_(dispatch::caller_request{caller_id{s.id}, std::move(request)});
}

auto route_server::reject(session& s, std::uint32_t status) -> void
{
    ++(status == request_timeout ? figures_.timeouts : figures_.malformed);
    auto m = http_message{};
    m.status = status;
    s.last = true;
    write(s, m);
}

auto route_server::write(session& s, http_message const& m) -> void
{
    auto out = m;
    s.last = s.last || leaving_;
    out.keep_alive = !s.last;
    s.stream->write(response_text(out, s.to_head));
    s.since = present();
    s.state = s.last ? session_state::closing : session_state::idle;
    if (s.last)
        s.stream->shut_down();
}

auto route_server::run(dispatch::answer_caller const& c) -> void
{
    auto const it = sessions_.find(c.caller.value);
    if (it == sessions_.end())
        return;
    auto& s = *it->second;
    write(s, dialect_.encode(c.answer, s.request_id));
    read_on(s);
}

auto route_server::run(dispatch::set_caller_limits const& c) -> void
{
    limits_ = c.limits;
    for (auto const& [id, s] : sessions_)
        s->reader.set_limits(to_read_limits(limits_));
}

auto route_server::run(dispatch::drain_callers const&) -> void
{
    leaving_ = true;
    for (auto const& [id, s] : sessions_)
        if (s->state == session_state::idle)
        {
            s->state = session_state::closing;
            s->since = present();
            s->stream->shut_down();
        }
}

auto route_server::on_ended(session_id id) -> void
{
    auto const it = sessions_.find(id);
    if (it == sessions_.end())
        return;
    auto const waited = it->second->state == session_state::answering;
    release(id);
    if (waited)
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
    auto const age = now - s.since;
    auto const past = [&](duration limit)
    {
        return limit > duration{0} && age > limit;
    };
    switch (s.state)
    {
    case session_state::idle:
        return past(limits_.idle_timeout);
    case session_state::reading:
        return past(s.reader.has_head() ? limits_.header_timeout * body_share
                                        : limits_.header_timeout);
    case session_state::answering:
        return false;
    case session_state::closing:
        return past(linger);
    }
    return false;
}

auto route_server::sweep() -> void
{
    auto const now = present();
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
    collect();
    sweep_.after(sweep_interval);
}

auto route_server::collect() -> void
{
    closed_.clear();
}

auto route_server::figures() const -> caller_figures
{
    auto f = figures_;
    f.open = sessions_.size();
    return f;
}

} // namespace knapweedstream
