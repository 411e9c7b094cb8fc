/// Typed refusals. Each states truthfully that nothing was run.
#ifndef KNAPWEEDSTREAM_REFUSAL_HPP
#define KNAPWEEDSTREAM_REFUSAL_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace knapweedstream
{

/// The customer is not configured.
struct unknown_customer
{
    std::string name;
    auto operator<=>(unknown_customer const&) const = default;
};

/// The customer has no such service.
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

/// The customer has as many requests open as it may have.
struct over_admission
{
    std::uint32_t limit = 0;
    auto operator<=>(over_admission const&) const = default;
};

/// The instance is full, or is leaving.
struct over_capacity
{
    auto operator<=>(over_capacity const&) const = default;
};

/// Targets died while running this request; it is refused for a time.
struct deadly_request
{
    auto operator<=>(deadly_request const&) const = default;
};

/// The platform could not record the claim that a booking needs.
struct platform_unavailable
{
    auto operator<=>(platform_unavailable const&) const = default;
};

/// No target could take the request, and none received it.
struct no_target
{
    auto operator<=>(no_target const&) const = default;
};

/// The booking key was used before with other content.
struct key_reused
{
    auto operator<=>(key_reused const&) const = default;
};

/// Why a request was not run.
using refusal = std::variant<unknown_customer, unknown_service, bad_field,
    over_admission, over_capacity, deadly_request, platform_unavailable,
    no_target, key_reused>;

} // namespace knapweedstream

#endif
