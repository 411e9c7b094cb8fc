/// Callers' connections for routed requests: reads requests whole, holds them
/// until they are answered, tells when a caller hangs up.
#ifndef KNAPWEEDSTREAM_ADAPTER_ROUTE_SERVER_HPP
#define KNAPWEEDSTREAM_ADAPTER_ROUTE_SERVER_HPP

#include "adapter/http_reader.hpp"
#include "adapter/target_links.hpp"
#include "adapter/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace knapweedstream
{

/// How callers' requests are read and their answers written.
struct caller_dialect
{
    std::function<routed_request(http_message&&)> decode;
    std::function<http_message(
        caller_answer const&, std::string const& request_id)>
        encode;
};

/// Counters of the callers' side.
struct caller_figures
{
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t malformed = 0;
    std::uint64_t timeouts = 0;

    auto operator<=>(caller_figures const&) const = default;
};

/// Takes callers' requests in and their answers out.
class route_server
{
public:
    route_server(event_base* base, caller_dialect dialect, dispatch_sink sink);
    ~route_server();
    route_server(route_server const&) = delete;
    auto operator=(route_server const&) -> route_server& = delete;

    auto start(std::string const& address) -> leaf::result<void>;

    auto run(dispatch::answer_caller const& c) -> void;
    auto run(dispatch::set_caller_limits const& c) -> void;

    /// From now on each answer is the last one of its connection.
    auto close_after_answers() -> void { leaving_ = true; }

    /// Closes connections that wait for a request.
    auto run(dispatch::drain_callers const& c) -> void;

    auto figures() const -> caller_figures;

    /// Frees what was closed; not to be called from a connection's callback.
    auto collect() -> void;

private:
    struct session;
    using session_id = std::uint64_t;

    auto accept(int fd) -> void;
    auto on_received(session_id id, std::string_view bytes) -> void;
    auto on_ended(session_id id) -> void;
    auto read_on(session& s) -> void;
    auto wait_for_rest(session& s) -> void;
    auto take(session& s) -> void;
    auto reject(session& s, std::uint32_t status) -> void;
    auto write(session& s, http_message const& m) -> void;
    auto release(session_id id) -> void;
    auto sweep() -> void;
    auto is_overdue(session const& s, time_point now) const -> bool;

    event_base* base_;
    caller_dialect dialect_;
    dispatch_sink sink_;
    caller_limits limits_;
    tcp_listener listener_;
    loop_event sweep_;
    bool leaving_ = false;
    session_id next_ = 1;
    caller_figures figures_;
    std::unordered_map<session_id, std::unique_ptr<session>> sessions_;
    std::vector<std::unique_ptr<session>> closed_;
};

} // namespace knapweedstream

#endif
