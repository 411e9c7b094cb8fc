/// Several dispatchers in virtual time that follow a model of the store, by own
/// calls or through each other.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_FLEET_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_FLEET_HPP

#include "dispatch/harness.hpp"

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
    bool relays = true; ///< Instances may pass changes on.
    dispatch_bounds bounds;
};

/// A change of a target's registration, and who has learned of it.
struct fleet_change
{
    std::string target;
    std::uint64_t revision = 0;
    time_point at;
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

    /// The store and its open connections are silent until a time. Calls made
    /// before then are never answered; later ones are.
    auto silence_until(time_point end) -> void { silent_until_ = end; }

    /// The instance cannot reach the store until a time.
    auto cut_until(std::size_t i, time_point end) -> void;

    /// Open connections of the instance to the store deliver nothing more.
    auto silence_connections(std::size_t i) -> void;

    /// The instance does not run until a time.
    auto freeze_until(std::size_t i, time_point end) -> void;

    /// The instance ends; its record stays in the store.
    auto kill(std::size_t i) -> void { nodes_[i].alive = false; }

    /// Longest time from a change until an instance learned of it. Not counted
    /// are instances that were cut off, frozen or ended meanwhile.
    auto longest_lag() const -> duration;

    /// Instances that follow the store through another one.
    auto attached() const -> std::size_t;

    auto core(std::size_t i) const -> harness& { return *nodes_[i].core; }

    /// Calls to the store so far; one that may be stale counts a tenth.
    double calls = 0;
    /// Changes so far.
    std::vector<fleet_change> changes;

    time_point now{seconds{100}};

private:
    struct call
    {
        store_kind kind = store_kind::configuration;
        bool is_list = false;
        bool is_check = false;
        std::uint64_t since = 0;
        time_point at;
        time_point answer_by; ///< When a watch returns without a change.
        time_point fails_at;
        bool lost = false; ///< Is never answered.
    };
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
    struct node
    {
        std::unique_ptr<harness> core;
        std::size_t commands_read = 0;
        std::vector<call> calls;
        bool alive = true;
        time_point cut_until;
        time_point frozen_until;
        /// When it was last cut off or frozen, up to the end of it.
        time_point disturbed_until;
        bool attached = false;
    };

    auto step() -> void;
    auto runs(std::size_t i) const -> bool;
    auto is_silent(std::size_t i) const -> bool;
    auto take_commands(std::size_t i) -> void;
    auto take_command(std::size_t i, command const& c) -> void;
    auto start_call(std::size_t i, call c, bool stale) -> void;
    auto end_calls(std::size_t i) -> void;
    auto answer(std::size_t i, call const& c) -> void;
    auto fail(std::size_t i, call const& c) -> void;
    auto deliver_questions() -> void;
    auto reply(answer_relay const& c) -> void;
    auto note_fact(std::size_t i, fact const& f) -> void;
    auto objects_of(store_kind kind) const -> std::vector<stored_object>;
    auto changes_after(store_kind kind, std::uint64_t since) const
        -> std::vector<stored_change>;
    auto write(store_kind kind, stored_object o) -> void;

    store_fleet_setup setup_;
    std::vector<node> nodes_;
    std::map<store_kind, std::map<std::string, stored_object>> objects_;
    std::uint64_t revision_ = 10;
    time_point silent_until_;
    std::vector<question> questions_;
    std::uint64_t next_question_ = 1;
    std::size_t next_target_ = 0;
};

} // namespace knapweedstream::dispatch

#endif
