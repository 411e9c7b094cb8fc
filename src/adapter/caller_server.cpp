#include "adapter/caller_server.hpp"

namespace knapweedstream
{

namespace
{

constexpr auto backlog = 1024;
constexpr auto body_limit_factor = std::uint64_t{4};

auto body_of(evhtp_request_t* r) -> std::string_view
{
    auto const n = evbuffer_get_length(r->buffer_in);
    auto const* data = evbuffer_pullup(r->buffer_in, -1);
    return n == 0 ? std::string_view{}
                  : std::string_view{reinterpret_cast<char const*>(data), n};
}

auto field_of(evhtp_request_t* r, char const* name) -> std::string_view
{
    auto const* v = evhtp_header_find(r->headers_in, name);
    return v == nullptr ? std::string_view{} : std::string_view{v};
}

auto send(evhtp_request_t* r, http_response const& a, char const* type) -> void
{
    evhtp_headers_add_header(
        r->headers_out, evhtp_header_new("Content-Type", type, 0, 0));
    evbuffer_add(r->buffer_out, a.body.data(), a.body.size());
    evhtp_send_reply(r, static_cast<evhtp_res>(a.status));
}

auto bad_request(std::string_view what) -> http_response
{
    return {400, error_body("bad_request", what)};
}

auto body_too_large(std::uint32_t limit) -> http_response
{
    return {413, error_body("body_too_large",
                     "at most " + std::to_string(limit) + " bytes")};
}

auto wrong_method() -> http_response
{
    return {405, error_body("method_not_allowed", "see docs/PROTOCOLS.md")};
}

} // namespace

caller_server::caller_server(loop_ref base, node_limits const& limits,
    event_sink sink, operator_pages pages)
    : http_(evhtp_new(base, nullptr)), limits_(limits), sink_(std::move(sink)),
      pages_(std::move(pages))
{
    evhtp_set_gencb(http_, on_request, this);
    // Bodies over `max_body_bytes` are answered with 413 up to this size; the
    // connection of a larger one is closed.
    evhtp_set_max_body_size(http_, limits_.max_body_bytes * body_limit_factor);
}

caller_server::~caller_server()
{
    evhtp_unbind_socket(http_);
    evhtp_free(http_);
}

auto caller_server::start(std::string const& address) -> leaf::result<void>
{
    auto const at = split_address(address);
    if (evhtp_bind_socket(http_, at.host.c_str(), at.port, backlog) != 0)
        return leaf::new_error(listen_error{address, "callers"});
    return {};
}

auto caller_server::on_request(evhtp_request_t* r, void* arg) -> void
{
    static_cast<caller_server*>(arg)->handle_request(r);
}

auto caller_server::on_request_end(evhtp_request_t* r, void* arg) -> evhtp_res
{
    auto* self = static_cast<caller_server*>(arg);
    auto const it = self->ids_.find(r);
    if (it == self->ids_.end())
        return EVHTP_RES_OK;
    auto const id = it->second;
    self->ids_.erase(it);
    self->open_requests_.erase(id);
    self->sink_(caller_gone{id});
    return EVHTP_RES_OK;
}

auto caller_server::handle_request(evhtp_request_t* r) -> void
{
    auto const path = std::string_view{r->uri->path->full};
    auto const method = evhtp_request_get_method(r);
    auto const is_query = path == "/v1/query";
    if (is_query || path == "/v1/bookings")
    {
        if (method != htp_method_POST)
            return send(r, wrong_method(), "application/json");
        if (body_of(r).size() > limits_.max_body_bytes)
            return send(
                r, body_too_large(limits_.max_body_bytes), "application/json");
        return is_query ? handle_query(r, body_of(r))
                        : handle_booking(r, body_of(r));
    }
    if (path == "/health")
        return send(r, pages_.health(), "application/json");
    if (path == "/metrics")
        return send(r, pages_.metrics(), "text/plain; version=0.0.4");
    if (path == "/v1/burn")
        return send(r, pages_.burn(), "application/json");
    if (path == "/v1/status")
        return send(r, pages_.status(), "application/json");
    send(r, {404, error_body("no_such_path", path)}, "application/json");
}

auto caller_server::handle_query(evhtp_request_t* r, std::string_view body)
    -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(q, parse_query(body));
            auto const id = pause_request(r);
            sink_(caller_query{id, std::move(q)});
            return {};
        },
        [&] {
            send(r, bad_request("not the JSON of a query"), "application/json");
        });
}

auto caller_server::handle_booking(evhtp_request_t* r, std::string_view body)
    -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            auto const key = field_of(r, "Idempotency-Key");
            BOOST_LEAF_AUTO(b, parse_booking(body, key));
            auto const id = pause_request(r);
            sink_(caller_booking{id, std::move(b), wall_seconds()});
            return {};
        },
        [&] {
            send(r, bad_request("not the JSON of a booking"),
                "application/json");
        });
}

auto caller_server::pause_request(evhtp_request_t* r) -> caller_id
{
    auto const id = caller_id{next_id_++};
    open_requests_.emplace(id, r);
    ids_.emplace(r, id);
    evhtp_request_set_hook(r, evhtp_hook_on_request_fini,
        reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(on_request_end)),
        this);
    evhtp_request_pause(r);
    return id;
}

auto caller_server::reply(caller_id id, http_response const& a) -> void
{
    auto const it = open_requests_.find(id);
    if (it == open_requests_.end())
        return;
    auto* r = it->second;
    ids_.erase(r);
    open_requests_.erase(it);
    send(r, a, "application/json");
    evhtp_request_resume(r);
}

auto caller_server::run(answer_query const& c) -> void
{
    reply(c.caller, to_http(c.answer));
}

auto caller_server::run(refuse_query const& c) -> void
{
    reply(c.caller, to_http(c.reason));
}

auto caller_server::run(answer_booking const& c) -> void
{
    reply(c.caller, to_http(c.answer));
}

} // namespace knapweedstream
