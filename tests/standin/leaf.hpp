/// Stand-in of a target: one shard, index versions, slots, cold start, faults.
#ifndef KNAPWEEDSTREAM_STANDIN_LEAF_HPP
#define KNAPWEEDSTREAM_STANDIN_LEAF_HPP

#include "http_server.hpp"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace standin
{

/// Properties of a leaf.
struct leaf_settings
{
    std::uint16_t port = 0;
    std::uint32_t shard = 0;
    std::uint32_t epoch = 1;
    std::uint32_t slots = 3;
    std::uint32_t connections = 30; ///< Limit; more are refused.
    std::uint32_t queue = 12; ///< Requests beyond the slots; more are shed.
    ks::duration connect_cost{6'000};   ///< Delay of the hello reply.
    ks::duration service{2'000};        ///< Mean service time.
    double straggle_share = 0;          ///< Share of requests that straggle.
    double straggle_factor = 10;        ///< Multiplies their service time.
    std::uint32_t cold_concurrency = 1; ///< Budget of a cold start.
    ks::milliseconds warmup{0};         ///< 0: starts warm.
    std::string versions = "1";         ///< Comma-separated.
    std::uint64_t seed = 1;
};

/// A target. `POST /control?...` changes its properties and faults and returns
/// its counters: `service_us`, `straggle_share`, `straggle_factor`, `versions`,
/// `epoch`, `draining`, `cold` (starts the warm-up again), `frozen` (holds all
/// requests), `silent` (connections that are open now get no more answers),
/// `crossed` (answers carry another request's id), `late` (answers are sent
/// although cancelled), `crash_on` (crashes on a request with this text), `lie`
/// (the health check always reports healthy and no load), `mute_bookings` (runs
/// bookings without an answer), `exit` (ends the process).
class leaf
{
public:
    leaf(event_base* base, leaf_settings const& settings);

private:
    struct work
    {
        std::uint64_t id;
        request r;
        bool booking;
        std::string text;
        std::string key;
        std::uint64_t version;
        ks::time_point deadline;
        ks::time_point done_at;
    };

    auto start() -> void;
    auto on_request(request r) -> void;
    auto control(request r) -> void;
    auto counters() const -> std::string;
    auto accept(request r, bool booking) -> void;
    auto cancel(request r) -> void;
    auto run_next() -> void;
    auto finish(work const& w) -> void;
    auto refuse(request r, int status, bool not_run) -> void;
    auto add_status_fields(request r, std::string const& id) -> void;
    auto crash() -> void;
    auto complete_due() -> void;
    auto arm_timer() -> void;
    auto on_hello(request r) -> void;
    auto load() const -> std::size_t { return running_.size() + queue_.size(); }
    auto is_cold(ks::time_point now) const -> bool;
    auto cold_budget(ks::time_point now) const -> std::uint32_t;
    auto serves(std::uint64_t version) const -> bool;
    auto service_time() -> ks::duration;
    auto is_silent(request r) const -> bool;

    event_base* base_;
    leaf_settings settings_;
    std::mt19937_64 random_;
    std::uint64_t boot_ = 0;
    ks::time_point cold_since_;
    bool frozen_ = false;
    bool mismatched_id_ = false;
    bool ignore_cancel_ = false;
    bool draining_ = false;
    bool always_healthy_ = false;
    bool drop_booking_replies_ = false;
    std::string crash_on_;
    std::set<evhttp_connection*> greeted_; ///< Connections that sent a hello.
    std::set<evhttp_connection*> silent_connections_;
    std::vector<request> held_;
    std::vector<std::pair<request, ks::time_point>> pending_hellos_;
    std::deque<work> queue_;
    std::vector<work> running_;
    /// Number of runs by booking key.
    std::map<std::string, std::uint32_t> booking_runs_;
    std::uint64_t served_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t crashes_ = 0;
    std::uint64_t over_cold_budget_ = 0;
    std::unique_ptr<http_server> server_;
    ks::loop_event timer_;
    ks::loop_event restart_;
};

} // namespace standin

#endif
