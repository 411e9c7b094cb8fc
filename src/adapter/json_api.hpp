/// The documented JSON of callers, leafs and the platform.
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

/// An HTTP answer: status and JSON body.
struct http_response
{
    std::uint32_t status = 200;
    std::string body;

    auto operator<=>(http_response const&) const = default;
};

/// Decodes the body of `POST /v1/query`.
auto parse_query(std::string_view body) -> leaf::result<query_request>;
/// Decodes the body of `POST /v1/bookings`.
auto parse_booking(std::string_view body, std::string_view key)
    -> leaf::result<booking_request>;
/// Status and body for the caller.
auto to_http(query_answer const& it) -> http_response;
/// Status and body for the caller.
auto to_http(refusal const& it) -> http_response;
/// Status and body for the caller.
auto to_http(booking_answer const& it) -> http_response;

/// Decodes a leaf's rows.
auto parse_rows(std::string_view body) -> leaf::result<std::vector<row>>;

/// Text of the value as stored in the platform.
auto to_json(customer_config const& it) -> std::string;
/// Decodes a customer object of the platform.
auto parse_customer(std::string_view value, std::uint64_t version)
    -> leaf::result<customer_config>;
/// Text of the value as stored in the platform.
auto to_json(instance_info const& it) -> std::string;
/// Decodes the platform's list of instances.
auto parse_instances(std::string_view body)
    -> leaf::result<std::vector<instance_info>>;
/// Text of the value as stored in the platform.
auto to_json(rollout const& it) -> std::string;
/// Decodes a rollout object.
auto parse_rollout(std::string_view value) -> leaf::result<rollout>;
/// Text of the value as stored in the platform.
auto to_json(std::vector<claim> const& it) -> std::string;
/// Decodes the claims of a bucket.
auto parse_claims(std::string_view value) -> leaf::result<std::vector<claim>>;

/// One object of the platform.
struct platform_object
{
    std::string name;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(platform_object const&) const = default;
};

/// What a watch brought.
struct platform_changes
{
    std::uint64_t revision = 0;
    std::vector<platform_object> objects;

    auto operator<=>(platform_changes const&) const = default;
};

/// Decodes one object of the platform.
auto parse_object(std::string_view body) -> leaf::result<platform_object>;
/// Decodes the answer to a watch.
auto parse_changes(std::string_view body) -> leaf::result<platform_changes>;

/// Error body: `{"error": code, "detail": text, "not_run": true}`.
auto error_body(std::string_view code, std::string_view detail) -> std::string;

} // namespace knapweedstream

#endif
