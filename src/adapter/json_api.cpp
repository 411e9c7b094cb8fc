#include "adapter/json_api.hpp"

#include "adapter/json_fields.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream
{

namespace
{

auto reason_name(shard_failure it) -> char const*
{
    switch (it)
    {
    case shard_failure::deadline:
        return "deadline";
    case shard_failure::no_replica:
        return "no_replica";
    case shard_failure::snapshot:
        return "snapshot";
    case shard_failure::failed:
        return "failed";
    case shard_failure::refused:
        return "refused";
    case shard_failure::not_owner:
        return "not_owner";
    case shard_failure::overload:
        return "overload";
    case shard_failure::suspected:
        return "suspected";
    }
    return "failed";
}

auto error_response(std::uint32_t status, std::string_view code,
    std::string_view detail) -> http_response
{
    return {status, error_body(code, detail)};
}

} // namespace

auto error_body(std::string_view code, std::string_view detail) -> std::string
{
    return json::serialize(
        json::object{{"error", json::string_view{code.data(), code.size()}},
            {"detail", json::string_view{detail.data(), detail.size()}},
            {"not_run", true}});
}

auto parse_query(std::string_view body) -> leaf::result<query_request>
{
    auto const o = parse_object_text(body);
    auto q = query_request{};
    q.customer = text_of(o, "customer");
    q.service = text_of(o, "service");
    q.text = text_of(o, "query");
    if (o.empty() || !millis_of(o, "deadline_ms", q.deadline) ||
        !number_of(o, "max_rows", q.max_rows))
        return leaf::new_error(decode_error{"query"});
    return q;
}

auto parse_booking(std::string_view body, std::string_view key)
    -> leaf::result<booking_request>
{
    auto const o = parse_object_text(body);
    auto r = booking_request{};
    r.customer = text_of(o, "customer");
    r.service = text_of(o, "service");
    r.item = text_of(o, "item");
    r.text = text_of(o, "text");
    r.key = std::string(key);
    if (o.empty() || !millis_of(o, "deadline_ms", r.deadline))
        return leaf::new_error(decode_error{"booking"});
    return r;
}

auto to_http(query_answer const& it) -> http_response
{
    auto missing = json::array{};
    for (auto const& m : it.covered.missing)
        missing.push_back(json::object{
            {"shard", m.shard.value}, {"reason", reason_name(m.reason)}});
    auto rows = json::array{};
    for (auto const& r : it.rows)
        rows.push_back(json::object{{"key", r.key}, {"score", r.score}});
    auto const body = json::object{{"complete", it.covered.missing.empty()},
        {"snapshot", json::object{{"epoch", it.at.epoch},
                         {"index_version", it.at.index_version}}},
        {"coverage", json::object{{"total", it.covered.total},
                         {"answered", it.covered.answered},
                         {"missing", std::move(missing)}}},
        {"rows", std::move(rows)}, {"elapsed_us", it.elapsed.count()}};
    auto const empty = it.covered.answered == 0 && it.covered.total > 0;
    return {empty ? 504u : 200u, json::serialize(body)};
}

auto to_http(refusal const& it) -> http_response
{
    return std::visit(
        overloaded{[](unknown_customer const& e)
            { return error_response(404, "unknown_customer", e.name); },
            [](unknown_service const& e)
            { return error_response(404, "unknown_service", e.name); },
            [](bad_field const& e)
            {
                return error_response(
                    400, "bad_field", e.field + ": wanted " + e.expected);
            },
            [](over_admission const& e)
            {
                return error_response(429, "over_admission",
                    "at most " + std::to_string(e.limit) + " at once");
            },
            [](over_capacity const&)
            { return error_response(503, "over_capacity", "try again"); },
            [](deadly_request const&)
            {
                return error_response(422, "deadly_request",
                    "targets died while they ran this request");
            },
            [](platform_unavailable const&)
            {
                return error_response(503, "platform_unavailable",
                    "the claim could not be stored");
            },
            [](no_target const&)
            {
                return error_response(
                    503, "no_target", "no target could take the request");
            },
            [](key_reused const&)
            {
                return error_response(
                    409, "key_reused", "the key was used with other content");
            }},
        it);
}

auto to_http(booking_answer const& it) -> http_response
{
    return std::visit(
        overloaded{[](booking_done const& e) -> http_response
            {
                return {200, json::serialize(json::object{{"outcome", "done"},
                                 {"reference", e.reference}})};
            },
            [](booking_not_run const& e) { return to_http(e.reason); },
            [](booking_unknown const&) -> http_response
            {
                return {
                    202, json::serialize(json::object{{"outcome", "unknown"},
                             {"detail", "send the same key again to ask"}})};
            }},
        it);
}

auto parse_rows(std::string_view body) -> leaf::result<std::vector<row>>
{
    auto const o = parse_object_text(body);
    auto rows = std::vector<row>{};
    auto const* list = o.if_contains("rows");
    if (list == nullptr || !list->is_array())
        return leaf::new_error(decode_error{"leaf rows"});
    rows.reserve(list->get_array().size());
    for (auto const& v : list->get_array())
    {
        auto const* r = v.if_object();
        auto it = row{};
        if (r == nullptr || !number_of(*r, "score", it.score))
            return leaf::new_error(decode_error{"leaf row"});
        it.key = text_of(*r, "key");
        rows.push_back(std::move(it));
    }
    return rows;
}

} // namespace knapweedstream
