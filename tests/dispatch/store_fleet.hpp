/// Several dispatchers in virtual time that follow a model of the store, by own
/// calls or through each other.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_FLEET_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_FLEET_HPP

#include "core/random.hpp"
#include "dispatch/harness.hpp"
#include "dispatch/instance_view.hpp"
#include "dispatch/store_calls.hpp"

#include <functional>
#include <memory>

namespace knapweedstream::dispatch
{

/// How instances are placed and connected.
struct store_fleet_setup
{
    std::size_t instances = 12;
    std::size_t zones = 2;
    std::size_t targets = 12;
    bool relays = true;        ///< Instances may pass changes on.
    std::size_t page_size = 0; ///< Objects of a list's page; 0: all.
    std::uint64_t seed = 1;    ///< Of the faults.
    dispatch_bounds bounds;
};

/// What the store's connections do while it is away.
enum class outage : std::uint8_t
{
    silent, ///< Calls made then are never answered.
    broken, ///< Open connections break, and new ones are refused.
};

/// A change of a target's registration, and who has learned of it.
struct fleet_change
{
    std::string target;
    bool draining = false;
    time_point at;                    ///< Of the last acknowledgement.
    std::vector<time_point> known_at; ///< By instance; `max()`: not known.
};

class store_fleet
{
public:
    explicit store_fleet(store_fleet_setup const& setup);

    /// Advances the time. `each_step` is called every few milliseconds.
    auto run(duration length, std::function<void()> const& each_step = {})
        -> void;

    /// Registers a new target, or states that the newest one is draining.
    auto change_target() -> void;

    /// Writes or deletes an object as the operator or a target does: if the
    /// store loses the change, it is made again.
    auto write(store_kind kind, stored_object o) -> void;
    auto remove(store_kind kind, std::string const& name) -> void;

    /// The store and its open connections are silent until a time. Calls made
    /// before then are never answered; later ones are.
    auto silence_until(time_point end) -> void { silent_until_ = end; }

    /// The store is away for a time.
    auto leave(duration away, outage how) -> void;

    /// The store is away for a time and comes back from a copy that is `age`
    /// old. Operator and targets then make their lost changes again.
    auto restore(duration age, duration away, outage how) -> void;

    /// The instance cannot reach the store until a time.
    auto cut_until(std::size_t i, time_point end) -> void;

    /// Open connections of the instance to the store deliver nothing more.
    auto silence_connections(std::size_t i) -> void;

    /// The instance does not run until a time.
    auto freeze_until(std::size_t i, time_point end) -> void;

    /// The instance ends; its record stays in the store.
    auto kill(std::size_t i) -> void { nodes_[i].alive = false; }

    /// An instance begins its planned stop.
    auto stop(std::size_t i) -> void;

    /// Starts another instance.
    auto start_instance() -> void;

    /// Longest time from a change until an instance learned of it. Not counted
    /// are instances that were cut off, frozen or ended meanwhile.
    auto longest_lag() const -> duration;

    /// Instances that follow the store through another one.
    auto attached() const -> std::size_t;

    auto size() const -> std::size_t { return nodes_.size(); }
    auto core(std::size_t i) const -> harness& { return *nodes_[i].core; }
    auto view(std::size_t i) const -> instance_view const&
    {
        return nodes_[i].view;
    }
    auto alive(std::size_t i) const -> bool { return nodes_[i].alive; }
    auto stopping(std::size_t i) const -> bool { return nodes_[i].stopping; }
    /// True if the instance runs now.
    auto runs(std::size_t i) const -> bool;
    /// When the instance was last cut off or frozen, up to the end of it.
    auto disturbed_until(std::size_t i) const -> time_point
    {
        return nodes_[i].disturbed_until;
    }
    auto age(std::size_t i) const -> duration
    {
        return now - nodes_[i].started;
    }
    auto store() const -> store_model const& { return store_; }

    answer_faults faults;
    /// Calls to the store so far; one that may be stale counts a tenth.
    double calls = 0;
    /// Calls that count toward the store's rates.
    std::size_t reads = 0;
    std::size_t writes = 0;
    /// Changes so far.
    std::vector<fleet_change> changes;

    time_point now{seconds{100}};

private:
    struct question
    {
        std::size_t from = 0;
        std::size_t to = 0;
        relay_request request;
        relay_caller_id id;
        time_point fails_at;
        bool delivered = false;
        /// Set if the answer has come while the instance that asks is frozen.
        std::optional<relay_reply> reply;
    };
    struct written_answer
    {
        store_written answer;
        time_point at;
    };
    struct node
    {
        std::unique_ptr<harness> core;
        instance_view view;
        time_point started;
        std::size_t commands_read = 0;
        std::vector<store_call> calls;
        std::vector<written_answer> written;
        bool alive = true;
        bool stopping = false;
        time_point cut_until;
        time_point frozen_until;
        time_point disturbed_until;
    };
    /// A lost change that operator or target makes again.
    struct rewrite
    {
        stored_change change;
        time_point at;
    };

    auto step() -> void;
    auto add_instance(time_point start) -> void;
    auto is_silent(std::size_t i) const -> bool;
    auto take_commands(std::size_t i) -> void;
    auto take_command(std::size_t i, command const& c) -> void;
    auto start_call(std::size_t i, store_call c) -> void;
    auto start_write(std::size_t i, command const& c) -> void;
    auto answer_writes(std::size_t i) -> void;
    auto end_calls(std::size_t i) -> void;
    auto take_ended(std::size_t i) -> std::optional<store_call>;
    auto send_answer(store_call c) -> store_call;
    auto deliver_questions() -> void;
    auto reply(answer_relay const& c) -> void;
    auto note_fact(std::size_t i, fact const& f) -> void;
    auto schedule_rewrites(
        std::vector<acknowledged_change> const& lost, time_point back) -> void;
    auto rewrite_lost() -> void;
    auto note_rewritten(stored_object const& o) -> void;
    auto happens(double share) -> bool;
    auto stated_era() -> store_era;

    store_fleet_setup setup_;
    std::vector<node> nodes_;
    store_model store_;
    random_state random_;
    time_point silent_until_;
    time_point broken_until_;
    std::vector<question> questions_;
    std::map<std::pair<store_kind, std::string>, rewrite> rewrites_;
    std::uint64_t next_question_ = 1;
    std::size_t next_target_ = 0;
};

} // namespace knapweedstream::dispatch

#endif
