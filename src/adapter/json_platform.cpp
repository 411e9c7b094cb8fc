#include "adapter/json_api.hpp"
#include "adapter/json_fields.hpp"

namespace knapweedstream
{

namespace
{

auto limits_to_json(target_limits const& it) -> json::object
{
    return {{"slots", it.slots}, {"connections", it.connections},
        {"cold_concurrency", it.cold_concurrency},
        {"warmup_ms", it.warmup.count()}};
}

auto policy_to_json(rollout_policy const& it) -> json::object
{
    auto steps = json::array{};
    for (auto const s : it.steps_percent)
        steps.push_back(s);
    return {{"id", it.id}, {"from", it.from}, {"to", it.to},
        {"steps_percent", std::move(steps)},
        {"duration_ms", it.duration.count()},
        {"max_failure_ratio", it.max_failure_ratio},
        {"max_latency_ratio", it.max_latency_ratio},
        {"min_samples", it.min_samples}};
}

auto objectives_to_json(service_objectives const& it) -> json::object
{
    return {{"latency_ms", it.latency.count()},
        {"latency_target", it.latency_target},
        {"coverage_target", it.coverage_target},
        {"availability_target", it.availability_target},
        {"bookings_target", it.bookings_target}};
}

auto parse_objectives(json::object const& o, service_objectives& out) -> bool
{
    return millis_of(o, "latency_ms", out.latency) &&
           number_of(o, "latency_target", out.latency_target) &&
           number_of(o, "coverage_target", out.coverage_target) &&
           number_of(o, "availability_target", out.availability_target) &&
           number_of(o, "bookings_target", out.bookings_target);
}

auto service_to_json(service_info const& it) -> json::object
{
    auto targets = json::array{};
    for (auto const& t : it.targets)
        targets.push_back(json::object{{"name", t.name}, {"address", t.address},
            {"zone", t.zone}, {"version", t.version},
            {"shard", t.shard.value}});
    return {{"name", it.name}, {"epoch", it.epoch}, {"shards", it.shards},
        {"deadline_ms", it.deadline.count()},
        {"limits", limits_to_json(it.limits)},
        {"rollout", policy_to_json(it.rollout)},
        {"targets", std::move(targets)}};
}

auto parse_target(json::object const& o, target_info& out) -> bool
{
    out.name = text_of(o, "name");
    out.address = text_of(o, "address");
    out.zone = text_of(o, "zone");
    out.version = text_of(o, "version");
    return number_of(o, "shard", out.shard.value) && !out.name.empty();
}

auto parse_limits(json::object const& o, target_limits& out) -> bool
{
    return number_of(o, "slots", out.slots) &&
           number_of(o, "connections", out.connections) &&
           number_of(o, "cold_concurrency", out.cold_concurrency) &&
           millis_of(o, "warmup_ms", out.warmup);
}

/// Decodes a rollout policy. Its steps must rise and stay between 1 and 99.
auto parse_policy(json::object const& o, rollout_policy& out) -> bool
{
    out.from = text_of(o, "from");
    out.to = text_of(o, "to");
    auto good = number_of(o, "id", out.id) &&
                millis_of(o, "duration_ms", out.duration) &&
                number_of(o, "max_failure_ratio", out.max_failure_ratio) &&
                number_of(o, "max_latency_ratio", out.max_latency_ratio) &&
                number_of(o, "min_samples", out.min_samples);
    auto last = std::uint32_t{0};
    for (auto const& v : list_of(o, "steps_percent"))
    {
        auto ec = json::error_code{};
        auto const n = v.to_number<std::uint32_t>(ec);
        good = good && !ec && n > last && n < 100;
        out.steps_percent.push_back(n);
        last = n;
    }
    return good;
}

auto parse_service(json::object const& o, service_info& out) -> bool
{
    constexpr auto max_shards = 100'000u;
    out.name = text_of(o, "name");
    auto const* limits = o.if_contains("limits");
    auto good =
        !out.name.empty() && number_of(o, "epoch", out.epoch) &&
        number_of(o, "shards", out.shards) &&
        millis_of(o, "deadline_ms", out.deadline) &&
        (limits == nullptr || parse_limits(object_of(*limits), out.limits));
    auto const* policy = o.if_contains("rollout");
    good = good &&
           (policy == nullptr || parse_policy(object_of(*policy), out.rollout));
    for (auto const& it : list_of(o, "targets"))
    {
        auto t = target_info{};
        good = good && parse_target(object_of(it), t) &&
               t.shard.value < out.shards;
        out.targets.push_back(std::move(t));
    }
    return good && out.shards > 0 && out.shards <= max_shards;
}

/// Encodes a claim as an array; the order of its elements is stored data.
auto claim_to_json(claim const& it) -> json::array
{
    return {it.key, it.token.value, it.content.value,
        static_cast<std::uint32_t>(it.state), it.reference, it.claimed_at_s};
}

auto parse_claim(json::value const& v, claim& out) -> bool
{
    auto const* a = v.if_array();
    if (a == nullptr || a->size() != 6 || !(*a)[0].is_string() ||
        !(*a)[4].is_string())
        return false;
    auto ec = json::error_code{};
    out.key = std::string((*a)[0].get_string());
    out.token = {(*a)[1].to_number<std::uint64_t>(ec)};
    auto bad = ec.failed();
    out.content = {(*a)[2].to_number<std::uint64_t>(ec)};
    bad = bad || ec.failed();
    auto const state = (*a)[3].to_number<std::uint8_t>(ec);
    bad = bad || ec.failed() || state > 2;
    out.state = static_cast<claim_state>(state);
    out.reference = std::string((*a)[4].get_string());
    out.claimed_at_s = (*a)[5].to_number<std::int64_t>(ec);
    return !bad && !ec.failed();
}

auto parse_object_fields(json::object const& o, platform_object& out) -> bool
{
    out.name = text_of(o, "name");
    out.value = text_of(o, "value");
    return number_of(o, "version", out.version) && !out.name.empty();
}

} // namespace

auto to_json(customer_config const& it) -> std::string
{
    auto zones = json::array{};
    for (auto const& z : it.zones_out)
        zones.push_back(json::string(z));
    auto services = json::array{};
    for (auto const& s : it.services)
        services.push_back(service_to_json(s));
    return json::serialize(json::object{{"name", it.name},
        {"max_queries", it.max_queries},
        {"objectives", objectives_to_json(it.objectives)},
        {"zones_out", std::move(zones)}, {"services", std::move(services)}});
}

auto parse_customer(std::string_view value, store_version version)
    -> leaf::result<customer_config>
{
    auto const o = parse_object_text(value);
    auto c = customer_config{};
    c.name = text_of(o, "name");
    c.version = version;
    auto good = !c.name.empty() && number_of(o, "max_queries", c.max_queries);
    auto const* objectives = o.if_contains("objectives");
    good = good && (objectives == nullptr ||
                       parse_objectives(object_of(*objectives), c.objectives));
    for (auto const& z : list_of(o, "zones_out"))
        if (z.is_string())
            c.zones_out.emplace_back(z.get_string());
    for (auto const& s : list_of(o, "services"))
    {
        auto it = service_info{};
        good = good && parse_service(object_of(s), it);
        c.services.push_back(std::move(it));
    }
    if (!good)
        return leaf::new_error(decode_error{"customer"});
    return c;
}

auto to_json(instance_info const& it) -> std::string
{
    return json::serialize(
        json::object{{"name", it.name}, {"peer_address", it.peer_address},
            {"zone", it.zone}, {"leaving", it.leaving}});
}

auto parse_instances(std::string_view body) -> leaf::result<instance_list>
{
    auto const o = parse_object_text(body);
    auto all = instance_list{};
    if (!o.contains("instances"))
        return leaf::new_error(decode_error{"instances"});
    for (auto const& v : list_of(o, "instances"))
    {
        auto const i = object_of(v);
        auto const* leaving = i.if_contains("leaving");
        auto it = instance_info{text_of(i, "name"), text_of(i, "peer_address"),
            text_of(i, "zone"),
            leaving != nullptr && leaving->is_bool() && leaving->get_bool()};
        if (it.name.empty())
            ++all.unreadable;
        else
            all.instances.push_back(std::move(it));
    }
    return all;
}

auto to_json(rollout const& it) -> std::string
{
    return json::serialize(json::object{{"id", it.id}, {"step", it.step},
        {"phase", static_cast<std::uint32_t>(it.phase)},
        {"fault", static_cast<std::uint32_t>(it.fault)},
        {"started_ms", it.started_ms}, {"changed_ms", it.changed_ms},
        {"token", it.token.value}});
}

auto parse_rollout(std::string_view value) -> leaf::result<rollout>
{
    auto const o = parse_object_text(value);
    auto r = rollout{};
    auto phase = std::uint8_t{3};
    auto fault = std::uint8_t{3};
    auto const good =
        number_of(o, "id", r.id) && number_of(o, "step", r.step) &&
        number_of(o, "phase", phase) && number_of(o, "fault", fault) &&
        number_of(o, "started_ms", r.started_ms) &&
        number_of(o, "changed_ms", r.changed_ms) &&
        number_of(o, "token", r.token.value);
    if (!good || phase > 2 || fault > 2)
        return leaf::new_error(decode_error{"rollout"});
    r.phase = static_cast<rollout_phase>(phase);
    r.fault = static_cast<rollout_fault>(fault);
    return r;
}

auto to_json(std::vector<claim> const& it) -> std::string
{
    auto list = json::array{};
    for (auto const& c : it)
        list.push_back(claim_to_json(c));
    return json::serialize(list);
}

auto parse_claims(std::string_view value) -> leaf::result<std::vector<claim>>
{
    auto ec = json::error_code{};
    auto const v = json::parse(json::string_view{value.data(), value.size()},
        ec, {}, lenient_options());
    if (ec || !v.is_array())
        return leaf::new_error(decode_error{"claims"});
    auto all = std::vector<claim>{};
    for (auto const& it : v.get_array())
    {
        auto c = claim{};
        if (!parse_claim(it, c))
            return leaf::new_error(decode_error{"claim"});
        all.push_back(std::move(c));
    }
    return all;
}

auto parse_object(std::string_view body) -> leaf::result<platform_object>
{
    auto it = platform_object{};
    if (!parse_object_fields(parse_object_text(body), it))
        return leaf::new_error(decode_error{"platform object"});
    return it;
}

auto parse_changes(std::string_view body) -> leaf::result<platform_changes>
{
    auto const o = parse_object_text(body);
    auto c = platform_changes{};
    if (!o.contains("revision") || !number_of(o, "revision", c.revision))
        return leaf::new_error(decode_error{"platform changes"});
    for (auto const& v : list_of(o, "objects"))
    {
        auto it = platform_object{};
        if (parse_object_fields(object_of(v), it))
            c.objects.push_back(std::move(it));
        else
            ++c.unreadable;
    }
    return c;
}

} // namespace knapweedstream
