/// A model of targets and callers in virtual time, around real dispatchers.
///
/// Targets have slots and queues, pause, hang and refuse; callers ask at a
/// rate and come back once after a refusal.
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

/// How a target serves.
struct target_model
{
    std::uint32_t slots = 3;
    std::uint32_t queue = 24; ///< Refused beyond it.
    duration processing_time{milliseconds{15}};
    double processing_spread = 0;   ///< Work varies by this share, either way.
    duration network_delay{0};      ///< From an instance, and back.
    std::uint32_t refuse_every = 0; ///< Every so manieth request; 0: none.
    std::uint32_t hang_every = 0;   ///< Likewise: holds its slot until its
                                    ///< connection is closed.
    duration pause_every{0};        ///< Stands still so often; 0: never,
    duration pause_length{0};       ///< and for so long.

    auto operator<=>(target_model const&) const = default;
};

/// What callers do.
struct load_plan
{
    double rate_per_s = 100;
    duration length{seconds{5}};
    duration objective{milliseconds{200}};
    std::uint64_t seed = 0;     ///< Of random arrivals; 0: evenly spaced.
    bool retry_refused = false; ///< Once, when a refusal said.

    auto operator<=>(load_plan const&) const = default;
};

/// What became of the requests that were first sent in one second.
struct second_result
{
    std::size_t submitted = 0;
    std::size_t in_time = 0;

    auto operator<=>(second_result const&) const = default;
};

/// What callers got.
struct load_result
{
    std::size_t submitted = 0;
    std::size_t in_time = 0; ///< Successes within the objective.
    std::size_t late = 0;    ///< Successes beyond it; of these
    std::size_t in_time_after_retry =
        0; ///< so many within it since the caller came back.
    std::size_t refused = 0;
    std::size_t failed = 0;          ///< Failures, and no answer at all.
    std::size_t partial = 0;         ///< Successes with parts missing.
    duration slowest_refusal{0};     ///< From the request to its refusal.
    std::vector<duration> latencies; ///< By successes, the shortest first.
    std::vector<second_result> seconds;
    std::uint64_t first_sends = 0; ///< First requests to targets,
    std::uint64_t extra_sends = 0; ///< hedges, retries and probes,
    std::size_t connections = 0;   ///< and connections opened.

    auto operator<=>(load_result const&) const = default;
};

/// What the instances and targets of a load are.
struct load_init
{
    std::size_t instances = 1;
    routing_config config;
    std::vector<target_registration> registered;
    std::map<std::string, target_model> targets; ///< By name.
    std::size_t accept_limit = 10'000;           ///< Connections a target.
    dispatch_limits limits{};

    auto operator<=>(load_init const&) const = default;
};

/// Plays a load against instances that share targets and know each other.
class load_simulation
{
public:
    explicit load_simulation(load_init const& init);

    /// Callers ask for a time; then all that is open may end.
    auto simulate(load_plan const& plan) -> load_result;

private:
    struct job
    {
        harness* from = nullptr;
        sent_request request;
        time_point due; ///< When it arrives, ends or is answered.
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
        std::uint32_t count = 0;   ///< Requests that arrived,
        std::uint32_t started = 0; ///< and that began to run.
    };
    struct caller
    {
        time_point first; ///< When it first asked.
        time_point last;  ///< When it asked last.
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
    auto random_share() -> double;

    accepted_connections accepted_;
    std::vector<std::unique_ptr<harness>> harnesses_;
    std::map<std::string, simulated_target> targets_;
    std::map<std::pair<harness const*, caller_id>, caller> callers_;
    std::map<harness const*, std::size_t> collected_; ///< Answers taken so far.
    std::multimap<time_point, caller> retrying_callers_;
    load_plan plan_;
    load_result result_;
    random_state random_;
    time_point now_;
    time_point start_;
    time_point next_arrival_;
    std::size_t submitted_ = 0; ///< Also those who came back.
};

} // namespace knapweedstream::dispatch

#endif
