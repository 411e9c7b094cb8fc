/// HTTP server for callers, the load balancer and operators (libevhtp).
#ifndef KNAPWEEDSTREAM_ADAPTER_CALLER_SERVER_HPP
#define KNAPWEEDSTREAM_ADAPTER_CALLER_SERVER_HPP

#include "adapter/json_api.hpp"
#include "adapter/leaf_client.hpp"

#include <knapweedstream/limits.hpp>

#include <evhtp.h>

#include <unordered_map>

namespace knapweedstream
{

/// Functions that produce the pages `/health`, `/metrics`, `/v1/status` and
/// `/v1/burn`.
struct operator_pages
{
    std::function<http_response()> health;
    std::function<http_response()> metrics;
    std::function<http_response()> status;
    std::function<http_response()> burn;
};

/// Passes callers' requests to the node and sends its answers back.
class caller_server
{
public:
    caller_server(loop_ref base, node_limits const& limits, event_sink sink,
        operator_pages pages);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    auto operator=(caller_server const&) -> caller_server& = delete;

    /// Starts to listen on an IP address and port; `listen_error` on failure.
    auto start(std::string const& address) -> leaf::result<void>;

    auto run(answer_query const& c) -> void;
    auto run(refuse_query const& c) -> void;
    auto run(answer_booking const& c) -> void;

    /// Number of requests that wait for their answer.
    auto open_requests() const -> std::size_t { return open_requests_.size(); }

private:
    static auto on_request(evhtp_request_t* r, void* arg) -> void;
    static auto on_request_end(evhtp_request_t* r, void* arg) -> evhtp_res;
    auto handle_request(evhtp_request_t* r) -> void;
    auto handle_query(evhtp_request_t* r, std::string_view body) -> void;
    auto handle_booking(evhtp_request_t* r, std::string_view body) -> void;
    /// Keeps a request open until its answer and returns the id by which the
    /// node names its caller.
    auto pause_request(evhtp_request_t* r) -> caller_id;
    auto reply(caller_id id, http_response const& a) -> void;

    evhtp_t* http_;
    node_limits limits_;
    event_sink sink_;
    operator_pages pages_;
    std::unordered_map<caller_id, evhtp_request_t*> open_requests_;
    std::unordered_map<evhtp_request_t*, caller_id> ids_;
    std::uint64_t next_id_ = 1;
};

} // namespace knapweedstream

#endif
