/// Stand-in of a target of routed requests, with its faults as switches.
#ifndef KNAPWEEDSTREAM_STANDIN_ROUTED_TARGET_HPP
#define KNAPWEEDSTREAM_STANDIN_ROUTED_TARGET_HPP

#include "wire_server.hpp"

#include <deque>
#include <map>
#include <random>

namespace standin
{

/// How a target treats a request.
enum class reply_fault : std::uint8_t
{
    none,
    truncated,      ///< Breaks off in mid-body.
    unframed,       ///< States no length and ends with the connection.
    duplicate,      ///< A second answer follows.
    late_duplicate, ///< The extra answer comes where the next one is due.
    mismatched_id,  ///< Carries another request's id.
    garbage,        ///< Bytes that are no message.
    encoded,        ///< States an encoding.
    server_error,   ///< 500
    overloaded,     ///< 503, not run.
    reset,          ///< Runs it and breaks the connection.
    no_reply,       ///< Runs it and never answers.
};

/// A request that a target has run.
struct run_record
{
    std::string target;
    std::string id;
    std::string method;
    std::string path;
    std::string request_body;
    std::string reply_body; ///< Once it has been answered.
    ks::time_point at;
};

/// All that targets have run; outlives them.
using run_log = std::vector<run_record>;

/// What a target is like.
struct routed_target_settings
{
    std::uint16_t port = 0;
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t queue = 18;
    std::uint32_t connections = 30;
    ks::duration service{5'000};
    std::size_t body_bytes = 160; ///< Rounded to whole records.
    std::uint64_t seed = 1;
    run_log* runs = nullptr; ///< Where runs are noted, if anywhere.
};

/// A target on loopback.
class routed_target
{
public:
    routed_target(event_base* base, routed_target_settings const& s);

    /// The next `n` requests are treated so.
    auto inject_faults(reply_fault f, std::size_t n) -> void;

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
        std::size_t run_index = 0; ///< Its place in the ledger.
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
    std::string held_reply_; ///< Answer that goes out before the next one.
};

} // namespace standin

#endif
