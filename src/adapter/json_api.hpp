/// JSON bodies that are exchanged with callers, leafs and the platform.
#ifndef KNAPWEEDSTREAM_ADAPTER_JSON_API_HPP
#define KNAPWEEDSTREAM_ADAPTER_JSON_API_HPP

#include "adapter/error.hpp"

#include <knapweedstream/booking.hpp>
#include <knapweedstream/query.hpp>
#include <knapweedstream/rollout.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace knapweedstream
{

/// Status and body of an HTTP response.
struct http_response
{
    std::uint32_t status = 200;
    std::string body;

    auto operator<=>(http_response const&) const = default;
};

/// Decodes the body of `POST /v1/query`.
///
/// @returns The request, or `decode_error`.
auto parse_query(std::string_view body) -> leaf::result<query_request>;
/// Decodes the body of `POST /v1/bookings`.
///
/// @param[in] key Idempotency key from the request's header.
/// @returns The request, or `decode_error`.
auto parse_booking(std::string_view body, std::string_view key)
    -> leaf::result<booking_request>;
/// Response to a query: status 504 if no shard answered, else 200.
auto to_http(query_answer const& it) -> http_response;
/// Response to a refused request, with the status of the reason.
auto to_http(refusal const& it) -> http_response;
/// Response to a booking: status 200 if it is done, 202 if its outcome is
/// unknown, else that of the refusal.
auto to_http(booking_answer const& it) -> http_response;

/// Decodes the rows in a leaf's response.
///
/// @returns The rows, or `decode_error`.
auto parse_rows(std::string_view body) -> leaf::result<std::vector<row>>;

/// Encodes a customer's configuration as stored in the platform.
auto to_json(customer_config const& it) -> std::string;
/// Decodes a customer's configuration as stored in the platform.
///
/// @param[in] version Of the object; kept in the result.
/// @returns The configuration, or `decode_error`.
auto parse_customer(std::string_view value, store_version version)
    -> leaf::result<customer_config>;
/// Encodes an instance as stored in the platform.
auto to_json(instance_info const& it) -> std::string;
/// The platform's list of instances.
struct instance_list
{
    std::vector<instance_info> instances;
    std::size_t unreadable = 0; ///< Entries without a name, left out.

    auto operator<=>(instance_list const&) const = default;
};

/// Decodes the platform's list of instances.
///
/// @returns The instances, or `decode_error`.
auto parse_instances(std::string_view body) -> leaf::result<instance_list>;
/// Encodes a rollout as stored in the platform.
auto to_json(rollout const& it) -> std::string;
/// Decodes a rollout as stored in the platform.
///
/// @returns The rollout, or `decode_error`.
auto parse_rollout(std::string_view value) -> leaf::result<rollout>;
/// Encodes the claims of a bucket as stored in the platform.
auto to_json(std::vector<claim> const& it) -> std::string;
/// Decodes the claims of a bucket as stored in the platform.
///
/// @returns The claims, or `decode_error`.
auto parse_claims(std::string_view value) -> leaf::result<std::vector<claim>>;

/// An object of the platform: its name, its version and its encoded value.
struct platform_object
{
    std::string name;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(platform_object const&) const = default;
};

/// Changed objects that a watch of the platform returned, and the revision that
/// they lead up to.
struct platform_changes
{
    std::uint64_t revision = 0;
    std::vector<platform_object> objects;
    std::size_t unreadable = 0; ///< Objects without a name, left out.

    auto operator<=>(platform_changes const&) const = default;
};

/// Decodes one object of the platform.
///
/// @returns The object, or `decode_error`.
auto parse_object(std::string_view body) -> leaf::result<platform_object>;
/// Decodes the platform's response to a watch.
///
/// @returns The changes, or `decode_error`.
auto parse_changes(std::string_view body) -> leaf::result<platform_changes>;

/// Body of an error response:
/// `{"error": code, "detail": text, "not_run": true}`. The member `not_run` is
/// always true: it tells the caller that the request was not run.
auto error_body(std::string_view code, std::string_view detail) -> std::string;

} // namespace knapweedstream

#endif
