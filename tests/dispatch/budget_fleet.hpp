/// Instances that share targets and their retry budget, in virtual time. Counts
/// what the targets get, whatever the instances believe.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_BUDGET_FLEET_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_BUDGET_FLEET_HPP

#include "core/random.hpp"
#include "dispatch/harness.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace knapweedstream::dispatch
{

/// Requests for the service, and what its targets got, in one step.
struct arrival_counts
{
    std::uint32_t first = 0; ///< Requests of callers, arrived or not.
    std::uint32_t extra = 0; ///< Arrivals beyond the first of a request.

    auto operator<=>(arrival_counts const&) const = default;
};

/// How a simulated target treats requests.
struct target_faults
{
    double reset = 0;      ///< Share of requests after which it resets.
    double refuse = 0;     ///< Share of requests that it refuses.
    double fail = 0;       ///< Share of requests that it fails.
    double unsent = 0;     ///< Share of connections that end before a request.
    double late = 0;       ///< Share of requests that it answers late.
    double displaced = 0;  ///< Share that another target gets in its place.
    std::string mute = {}; ///< Target that reads and answers nothing.

    auto operator<=>(target_faults const&) const = default;
};

/// Size of a simulated fleet and of its traffic.
struct fleet_plan
{
    std::size_t instances = 40;
    std::uint32_t extra = 400; ///< Fixed part of the retry budget.
    /// Probability that an instance gets a request in a step.
    double request_share = 1;
    std::uint64_t seed = 1;
    double ratio = 0.2; ///< Of the retry budget.

    auto operator<=>(fleet_plan const&) const = default;
};

/// A fleet of instances that send requests to one service.
class budget_fleet
{
public:
    explicit budget_fleet(fleet_plan const& plan = {});

    /// Lets each instance send a request per step for a while.
    auto run(duration length, target_faults const& faults) -> void;

    /// The same while the targets read nothing.
    auto run_silent(duration length) -> void;

    /// All that the targets have not read arrives, and is answered.
    auto deliver_unread() -> void;

    /// Adds instances, which list all; those before do not list them.
    auto grow(std::size_t n) -> void;

    /// Callers send to the first `n` instances only, as many requests as
    /// before.
    auto send_to(std::size_t n) -> void { receivers_ = n; }

    /// Replaces the process of an instance. The new one reads the configuration
    /// and, if `listed` holds, the list of instances.
    auto restart(std::size_t i, bool listed = true) -> void;

    /// An instance reads a list that holds the first `n` instances, and itself.
    /// From then on it reads lists only by this call, unless it has read one
    /// of all instances.
    auto read_list(std::size_t i, std::size_t n) -> void;

    /// An instance reaches the store no more, until it reads a list.
    auto cut_off(std::size_t i) -> void { access_[i].open = false; }

    /// The store loses the records of the instances from the `n`th on.
    auto lose_records(std::size_t n) -> void;

    /// The most extra arrivals in a window, divided by those allowed.
    auto worst_use_of_budget() const -> double;

    /// The most targets that have run one request.
    auto most_runs() const -> std::size_t;

    /// How many extra requests of a kind the present processes have sent.
    auto extra_sends(attempt_kind k) const -> std::size_t;

    /// How many attempts of the present processes have ended in a way.
    auto ends(attempt_end e) const -> std::size_t;

    /// All instances read a configuration whose route leads to a service. Its
    /// targets register again.
    auto route_to(std::string const& service) -> void;

    auto instances() const -> std::size_t { return fleet_.size(); }
    auto bounds() const -> dispatch_bounds const& { return bounds_; }

private:
    auto start(std::size_t i) -> std::unique_ptr<harness>;
    auto submit_step() -> void;
    auto hold(harness& from, std::size_t i) -> void;
    auto follow_store(std::size_t i) -> void;
    auto carry_out_writes(std::size_t i) -> void;
    auto feed_list(std::size_t i, std::size_t n) -> void;
    auto records(std::size_t i, std::size_t n) const
        -> std::vector<stored_object>;
    auto answer(std::size_t i, target_faults const& faults) -> void;
    auto answer(std::size_t i, sent_request const& it,
        target_faults const& faults) -> void;
    auto answer_late() -> void;
    auto count(sent_request const& it) -> void;
    auto configuration() const -> stored_object;
    auto registered_targets() const -> std::vector<stored_object>;
    auto draw() -> double;
    auto allowed_from(std::size_t step) const -> double;

    /// A request that its target has not read yet.
    struct held_request
    {
        std::size_t instance = 0;
        sent_request sent;
        time_point due; ///< Of its answer, if it was read.
    };

    /// An instance's access to the store.
    struct store_access
    {
        bool open = false;        ///< Its lists and writes are answered.
        std::size_t commands = 0; ///< Commands of it carried out.
        std::size_t lists = 0;    ///< Lists that it has called.
        std::size_t answered = 0; ///< Of those, answered ones.
    };

    fleet_plan plan_;
    std::map<std::string, stored_object> store_; ///< Records, by name.
    std::uint64_t revision_ = 1'000;
    std::vector<store_access> access_;
    dispatch_bounds bounds_;
    std::size_t receivers_ = 0; ///< Instances that get requests.
    std::vector<held_request> held_;
    std::vector<held_request> late_; ///< Read, but not answered yet.
    std::string service_ = "s";      ///< To which the route leads.
    std::uint64_t registrations_ = 3;
    std::vector<std::unique_ptr<harness>> fleet_;
    std::vector<arrival_counts> arrivals_; ///< By step.
    /// Targets that have run a request that arrived at the service "s".
    std::map<std::string, std::set<std::string>> arrived_;
    random_state random_;
    time_point now_{seconds{100}};
    std::uint64_t requests_ = 0;
};

} // namespace knapweedstream::dispatch

#endif
