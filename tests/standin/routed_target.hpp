/// Stand-in of a target of routed requests, with injectable faults.
#ifndef KNAPWEEDSTREAM_STANDIN_ROUTED_TARGET_HPP
#define KNAPWEEDSTREAM_STANDIN_ROUTED_TARGET_HPP

#include "wire_server.hpp"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string_view>

namespace standin
{

/// How a target replies to a request.
enum class reply_fault : std::uint8_t
{
    none,
    truncated,      ///< Ends 10 bytes early, then shuts down.
    unframed,       ///< Has no length; ends with the connection.
    duplicate,      ///< Is sent twice.
    late_duplicate, ///< Is sent again just before the next reply.
    mismatched_id,  ///< Carries another request's id.
    garbage,        ///< Is no HTTP message.
    encoded,        ///< States a gzip content encoding.
    server_error,   ///< Has status 500.
    overloaded,     ///< Has status 503; the request does not run.
    reset,          ///< The request runs, the connection is reset.
    no_reply,       ///< The request runs without a reply.
};

/// Path of the requests that end each target that begins to run them.
constexpr auto deadly_path = std::string_view{"/one/deadly"};

/// A request that a target has run.
struct run_record
{
    std::string target;
    std::string id;
    std::string method;
    std::string path;
    std::string request_body;
    std::string reply_body; ///< Empty until the run ends.
    ks::time_point at;
    std::string stamp; ///< Signature of this run alone.
};

/// Runs of all targets; outlives them.
using run_log = std::vector<run_record>;

/// Settings of a target.
struct routed_target_settings
{
    std::uint16_t port = 0;
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t queue = 18;
    std::uint32_t connections = 30;
    ks::duration service{5'000};
    std::size_t body_bytes = 160; ///< Rounded up to whole 16-byte records.
    std::uint64_t seed = 1;
    run_log* runs = nullptr; ///< Records the runs; may be null.
    /// Called as it begins to run a request for `deadly_path`.
    std::function<void()> on_deadly = {};
};

/// A target on loopback.
class routed_target
{
public:
    routed_target(event_base* base, routed_target_settings const& s);

    /// Queues a fault for `n` replies, behind the faults already queued.
    auto inject_faults(reply_fault f, std::size_t n) -> void;

    /// Drops the faults that are queued.
    ///
    /// @returns How many there were.
    auto drop_faults() -> std::size_t;

    auto settings() -> routed_target_settings& { return settings_; }
    auto open_connections() const -> std::size_t
    {
        return server_.open_connections();
    }

private:
    struct job
    {
        client_id client = 0;
        ks::http_message request;
        std::size_t run_index = 0; ///< Index in the run log.
        std::string stamp;         ///< Signature of the run.
    };

    auto on_request(client_id id, ks::http_message m) -> void;
    auto start(job j) -> void;
    auto finish(std::uint64_t id) -> void;
    auto answer(job const& j, reply_fault f) -> void;
    auto take_fault() -> reply_fault;

    event_base* base_;
    routed_target_settings settings_;
    wire_server server_;
    std::mt19937_64 random_;
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, std::pair<job, std::unique_ptr<ks::loop_event>>>
        running_;
    std::vector<std::unique_ptr<ks::loop_event>> expired_timers_;
    std::deque<job> queue_;
    std::deque<reply_fault> faults_;
    std::string held_reply_; ///< Duplicate to send before the next reply.
};

} // namespace standin

#endif
