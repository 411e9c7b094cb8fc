/// Reasons for refusing a request. A refused request has not been run, except
/// that a `deadly_request` may have run on targets that crashed.
#ifndef KNAPWEEDSTREAM_REFUSAL_HPP
#define KNAPWEEDSTREAM_REFUSAL_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace knapweedstream
{

/// No customer with this name is configured.
struct unknown_customer
{
    std::string name;
    auto operator<=>(unknown_customer const&) const = default;
};

/// The customer has no service with this name.
struct unknown_service
{
    std::string name;
    auto operator<=>(unknown_service const&) const = default;
};

/// A field of the request is missing or out of range.
struct bad_field
{
    std::string field;
    std::string expected;
    auto operator<=>(bad_field const&) const = default;
};

/// The customer has reached its limit of open requests.
struct over_admission
{
    std::uint32_t limit = 0;
    auto operator<=>(over_admission const&) const = default;
};

/// The instance, the service or the claim storage of a shard has reached its
/// limit.
struct over_capacity
{
    auto operator<=>(over_capacity const&) const = default;
};

/// Targets crashed while running this request or an identical one, so it is
/// refused for `node_limits::fingerprint_ban`.
struct deadly_request
{
    auto operator<=>(deadly_request const&) const = default;
};

/// The claim that a booking needs could not be stored in the platform.
struct platform_unavailable
{
    auto operator<=>(platform_unavailable const&) const = default;
};

/// No target could accept the request, and none ran it.
struct no_target
{
    auto operator<=>(no_target const&) const = default;
};

/// The idempotency key was already used for a booking with other content.
struct key_reused
{
    auto operator<=>(key_reused const&) const = default;
};

/// Why a request was refused.
using refusal = std::variant<unknown_customer, unknown_service, bad_field,
    over_admission, over_capacity, deadly_request, platform_unavailable,
    no_target, key_reused>;

} // namespace knapweedstream

#endif
