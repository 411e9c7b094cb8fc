/// Simulation of targets and callers in virtual time, with real dispatchers.
///
/// Targets have slots and queues and can pause, hang and refuse. Callers send
/// requests at a rate and may retry once after a refusal.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_LOAD_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_LOAD_HPP

#include "core/random.hpp"
#include "dispatch/harness.hpp"

#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace knapweedstream::dispatch
{

/// Behaviour of a simulated target.
struct target_model
{
    std::uint32_t slots = 3;
    std::uint32_t queue = 24; ///< Requests beyond it are refused.
    duration processing_time{milliseconds{15}};
    double processing_spread = 0;   ///< Share by which it varies, up or down.
    duration network_delay{0};      ///< One way, of requests and of successes.
    std::uint32_t refuse_every = 0; ///< Refuses each n-th arrival; 0: none.
    std::uint32_t hang_every = 0;   ///< Each n-th started request holds its
                                    ///< slot until its connection is closed;
                                    ///< 0: none.
    duration pause_every{0};        ///< Time between starts of pauses; 0: none.
    duration pause_length{0};       ///< No request makes progress meanwhile.

    auto operator<=>(target_model const&) const = default;
};

/// Requests that callers send.
struct load_plan
{
    double rate_per_s = 100;
    duration length{seconds{5}};
    duration objective{milliseconds{200}};
    std::uint64_t seed = 0;     ///< Of random arrivals; 0: evenly spaced ones.
    bool retry_refused = false; ///< Once, after the refusal's delay.

    auto operator<=>(load_plan const&) const = default;
};

/// Outcome of the requests that were first sent in one second.
struct second_result
{
    std::size_t submitted = 0;
    std::size_t in_time = 0;

    auto operator<=>(second_result const&) const = default;
};

/// Outcome of all requests of a load.
struct load_result
{
    std::size_t submitted = 0;
    std::size_t in_time = 0;             ///< Successes within the objective.
    std::size_t late = 0;                ///< Successes after the objective.
    std::size_t in_time_after_retry = 0; ///< Late, but within the
                                         ///< objective since the retry.
    std::size_t refused = 0;
    std::size_t failed = 0;      ///< Failures, and requests without an answer.
    std::size_t partial = 0;     ///< Successes with missing parts.
    duration slowest_refusal{0}; ///< From a request or its retry.
    std::vector<duration> latencies;    ///< Of successes, in ascending order.
    std::vector<second_result> seconds; ///< By second of the load.
    std::uint64_t first_sends = 0;      ///< First requests of parts to targets.
    std::uint64_t extra_sends = 0;      ///< Hedges, retries and probes.
    std::size_t connections = 0;        ///< Opened to targets.

    auto operator<=>(load_result const&) const = default;
};

/// Instances and targets of a simulation.
struct load_init
{
    std::size_t instances = 1;
    routing_config config;
    std::vector<target_registration> registered;
    std::map<std::string, target_model> targets; ///< By name.
    std::size_t accept_limit = 10'000;           ///< Connections per target.
    dispatch_limits limits{};

    auto operator<=>(load_init const&) const = default;
};

/// Simulates a load on instances that share targets and are listed to each
/// other.
class load_simulation
{
public:
    explicit load_simulation(load_init const& init);

    /// Sends requests for `plan.length`, then leaves open requests and retries
    /// time to finish.
    auto simulate(load_plan const& plan) -> load_result;

private:
    struct job
    {
        harness* from = nullptr;
        sent_request request;
        time_point due; ///< Of arrival, end of processing or reply.
    };
    struct simulated_target
    {
        target_model model;
        time_point paused_until;
        time_point next_pause;
        std::vector<job> arriving;
        std::deque<job> waiting;
        std::vector<job> running;
        std::vector<job> returning;
        std::uint32_t count = 0;   ///< Requests that arrived.
        std::uint32_t started = 0; ///< Requests started; counted only if
                                   ///< `hang_every` is set.
    };
    struct caller
    {
        time_point first; ///< Time of the first request.
        time_point last;  ///< Time of the last request.
        bool retried = false;
    };

    auto begin(load_plan const& plan) -> void;
    auto submit_due() -> void;
    auto submit(caller const& c) -> void;
    auto step() -> void;
    auto send(harness& from, sent_request const& s) -> void;
    auto handle_arrivals(simulated_target& t) -> void;
    auto advance_running(simulated_target& t) -> void;
    auto send_replies(simulated_target& t) -> void;
    auto is_paused(simulated_target& t) -> bool;
    auto draw_processing_time(simulated_target& t) -> duration;
    auto collect_answers(harness& r) -> void;
    auto count(caller const& c, answer_record const& a) -> void;
    auto finish() -> load_result;
    auto random_fraction() -> double;

    accepted_connections accepted_;
    std::vector<std::unique_ptr<harness>> harnesses_;
    std::map<std::string, simulated_target> targets_;
    std::map<std::pair<harness const*, caller_id>, caller> callers_;
    /// Number of answers handled so far.
    std::map<harness const*, std::size_t> collected_;
    std::multimap<time_point, caller> retrying_callers_;
    load_plan plan_;
    load_result result_;
    random_state random_;
    time_point now_;
    time_point start_;
    time_point next_arrival_;
    std::size_t submitted_ = 0; ///< Requests, including retries.
};

} // namespace knapweedstream::dispatch

#endif
