/// Calls of an instance to the model of the store, and their answers.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_CALLS_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_STORE_CALLS_HPP

#include "dispatch/store_model.hpp"
#include "port/dispatch_command.hpp"
#include "port/dispatch_event.hpp"

#include <optional>

namespace knapweedstream::dispatch
{

/// Shares of the store's answers that are disturbed.
struct answer_faults
{
    double lost = 0; ///< Never arrive; writes are carried out all the same.
    double late = 0;
    milliseconds latest{800};    ///< Longest delay of a late answer.
    double stale = 0;            ///< Of those that may be stale.
    milliseconds stalest{3'000}; ///< Greatest age of stale data.
    double without_era = 0;
    double busy = 0; ///< Rejections of lists and watches.
};

enum class call_type : std::uint8_t
{
    list,
    watch,
    check,
};

/// A pending list, watch or check.
struct store_call
{
    store_kind kind = store_kind::configuration;
    call_type type = call_type::list;
    std::string after; ///< A list continues after this name.
    std::uint64_t since = 0;
    bool may_be_stale = false;
    time_point at;
    time_point answer_by; ///< When a watch returns without a change.
    time_point fails_at;
    store_failure failure = store_failure::timeout; ///< How it fails then.
    bool lost = false;                              ///< Is never answered.
    std::optional<event> answer; ///< On its way; arrives at `answer_by`.
};

/// The call that a command makes; none if it makes another one.
auto call_of(command const& c, time_point now) -> std::optional<store_call>;

/// True if both calls use the same connection.
auto share_connection(store_call const& a, store_call const& b) -> bool;

/// True if the store can answer.
auto is_due(store_call const& c, store_model const& store, time_point now)
    -> bool;

/// How the store answers a call.
struct answer_options
{
    std::uint64_t revision = 0; ///< Of the data that lists and checks show.
    std::size_t page_size = 0;  ///< Objects of a page; 0: all of them.
    store_era era;              ///< Stated in the answer.
};

auto answer_of(store_call const& c, store_model const& store,
    answer_options const& options) -> event;

auto failure_of(store_call const& c, store_failure why, store_era era) -> event;

/// Carries out a write.
///
/// @returns The store's answer, without an era; none if it is no write.
auto carry_out_write(store_model& store, command const& c, time_point now)
    -> std::optional<store_written>;

/// The answer to a write that the instance believes to have failed.
auto failed_write(command const& c, store_failure why)
    -> std::optional<store_written>;

} // namespace knapweedstream::dispatch

#endif
