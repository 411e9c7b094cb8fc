/// One request of a caller on a route, what targets reply, and the answer.
/// Bodies are opaque.
#ifndef KNAPWEEDSTREAM_EXCHANGE_HPP
#define KNAPWEEDSTREAM_EXCHANGE_HPP

#include <knapweedstream/time.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedstream
{

/// A header field of a message.
struct header_field
{
    std::string name;
    std::string value;

    auto operator<=>(header_field const&) const = default;
};

/// A caller's request, read whole.
struct routed_request
{
    std::string id; ///< Of this attempt of the caller; empty if none was sent.
    std::string method;
    std::string target;                   ///< Path and query, as sent.
    std::string host;                     ///< Without a port.
    std::vector<header_field> fields;     ///< Those that are passed on.
    std::optional<milliseconds> deadline; ///< How long the caller will wait.
    std::string body;

    auto operator<=>(routed_request const&) const = default;
};

/// A request that several attempts share.
using routed_request_ptr = std::shared_ptr<routed_request const>;

/// A whole message of a target.
struct target_message
{
    std::uint32_t status = 0;
    std::string signature; ///< Proves the target's work; passed on unchanged.
    std::vector<header_field> fields; ///< Others that are passed on.
    std::string body;

    auto operator<=>(target_message const&) const = default;
};

/// The target ran the request and succeeded.
struct reply_success
{
    target_message message;
    auto operator<=>(reply_success const&) const = default;
};

/// The target answered with a failure; the request may have run.
struct reply_failure
{
    target_message message;
    auto operator<=>(reply_failure const&) const = default;
};

/// The target is full, or dropped the request from its queue; not run.
struct reply_overloaded
{
    auto operator<=>(reply_overloaded const&) const = default;
};

/// Another target has the address; not run.
struct reply_wrong_target
{
    auto operator<=>(reply_wrong_target const&) const = default;
};

/// An answer to another request, or one whose body cannot be passed on.
struct reply_unusable
{
    auto operator<=>(reply_unusable const&) const = default;
};

using target_reply = std::variant<reply_success, reply_failure,
    reply_overloaded, reply_wrong_target, reply_unusable>;

/// Why a request was refused. Nothing has run and nothing will.
enum class refusal_reason : std::uint8_t
{
    not_ready,     ///< No configuration is known yet.
    no_route,      ///< No route takes it.
    bad_request,   ///< A field that the route needs is missing or malformed.
    no_target,     ///< No target can be reached.
    overloaded,    ///< The queue is too long for its deadline.
    no_budget,     ///< Targets refused it and no retry is left.
    deadly,        ///< Targets crashed when they ran it.
    out_of_region, ///< No target in a region where it may be served.
};

/// The request did not run.
struct answer_refused
{
    refusal_reason reason = refusal_reason::not_ready;
    duration retry_after{0}; ///< When the caller should come back; 0: any time.
    auto operator<=>(answer_refused const&) const = default;
};

/// A target's message, passed on unchanged.
struct answer_relayed
{
    target_message message;
    auto operator<=>(answer_relayed const&) const = default;
};

/// Records of several shards, merged.
struct answer_merged
{
    std::vector<std::string> signatures; ///< Of the parts that are in.
    std::uint32_t missing = 0;           ///< Shards left out.
    std::string records;                 ///< Greatest first.
    auto operator<=>(answer_merged const&) const = default;
};

/// Why a request that may have run has no result.
enum class failure_reason : std::uint8_t
{
    timeout,         ///< The deadline has passed.
    connection_lost, ///< A target's connection broke.
    target_failed,   ///< Targets failed.
    coverage,        ///< Too few shards answered.
};

/// The request may have run; its result is not known.
struct answer_failed
{
    failure_reason reason = failure_reason::timeout;
    auto operator<=>(answer_failed const&) const = default;
};

using caller_answer =
    std::variant<answer_refused, answer_relayed, answer_merged, answer_failed>;

} // namespace knapweedstream

#endif
