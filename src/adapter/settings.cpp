#include "adapter/settings.hpp"

#include "adapter/ini.hpp"

#include <map>
#include <sstream>

namespace knapweedstream
{

namespace
{

using settings_key = ini_key<instance_settings>;

auto read_level(std::string const& text, log_level& out) -> bool
{
    static auto const names = std::map<std::string, log_level>{
        {"debug", log_level::debug}, {"info", log_level::info},
        {"warning", log_level::warning}, {"error", log_level::error}};
    auto const it = names.find(text);
    if (it != names.end())
        out = it->second;
    return it != names.end();
}

auto read_selector(std::string const& text, selector_kind& out) -> bool
{
    static auto const names =
        std::map<std::string, selector_kind>{{"random", selector_kind::random},
            {"round_robin", selector_kind::round_robin},
            {"two_choices", selector_kind::two_choices},
            {"credit", selector_kind::credit}};
    auto const it = names.find(text);
    if (it != names.end())
        out = it->second;
    return it != names.end();
}

auto instance_keys() -> std::vector<settings_key>
{
    using s = instance_settings;
    auto const address = "an IP number and port, as 127.0.0.1:8080";
    return {{"name", "a name",
                [](auto const& t, s& o) { return read_text(t, o.self.name); },
                true},
        {"zone", "an availability zone",
            [](auto const& t, s& o) { return read_text(t, o.self.zone); },
            true},
        {"caller_address", address,
            [](auto const& t, s& o)
            { return read_address(t, o.caller_address); },
            true},
        {"peer_address", address,
            [](auto const& t, s& o)
            { return read_address(t, o.self.peer_address); },
            true},
        {"platform_address", address,
            [](auto const& t, s& o)
            { return read_address(t, o.platform_address); },
            true},
        {"log_level", "debug, info, warning or error",
            [](auto const& t, s& o)
            {
                return read_level(t, o.level);
            }},
        {"record_path", "a path",
            [](auto const& t, s& o)
            {
                return read_text(t, o.record_path);
            }},
        {"record_max_bytes", "a number of bytes",
            [](auto const& t, s& o)
            {
                return read_u64(t, o.record_max_bytes);
            }}};
}

auto policy_keys() -> std::vector<settings_key>
{
    using s = instance_settings;
    auto const flag = [](std::string_view name, auto member) -> settings_key
    {
        return {name, "on or off",
            [member](auto const& t, s& o)
            {
                return read_bool(t, o.policy.*member);
            }};
    };
    return {{"selector", "random, round_robin, two_choices or credit",
                [](auto const& t, s& o)
                {
                    return read_selector(t, o.policy.selector);
                }},
        flag("hedging", &node_policy::hedging),
        flag("retries", &node_policy::retries),
        flag("slow_start", &node_policy::slow_start),
        flag("canary", &node_policy::canary),
        flag("ejection", &node_policy::ejection)};
}

auto limit_count(std::string_view name, std::uint32_t node_limits::*member)
    -> settings_key
{
    return {name, "a whole number above 0",
        [member](auto const& t, instance_settings& o)
        {
            return read_positive(t, o.limits.*member);
        }};
}

auto limit_ms(std::string_view name, milliseconds node_limits::*member)
    -> settings_key
{
    return {name, "milliseconds, above 0",
        [member](auto const& t, instance_settings& o)
        {
            auto n = std::uint32_t{};
            auto const good = read_positive(t, n);
            o.limits.*member = milliseconds{n};
            return good;
        }};
}

auto limit_real(std::string_view name, double node_limits::*member)
    -> settings_key
{
    return {name, "a number from 0 to 1000",
        [member](auto const& t, instance_settings& o)
        {
            auto& it = o.limits.*member;
            return read_double(t, it) && it >= 0 && it <= 1000;
        }};
}

auto limit_keys() -> std::vector<settings_key>
{
    using l = node_limits;
    return {limit_count("max_body_bytes", &l::max_body_bytes),
        limit_count("max_queries", &l::max_queries),
        limit_count("max_rows", &l::max_rows),
        limit_ms("min_deadline_ms", &l::min_deadline),
        limit_ms("max_deadline_ms", &l::max_deadline),
        limit_ms("answer_margin_ms", &l::answer_margin),
        limit_ms("owner_check_ms", &l::owner_check),
        limit_ms("heartbeat_ms", &l::heartbeat),
        limit_count("heartbeat_fanout", &l::heartbeat_fanout),
        limit_ms("peer_timeout_ms", &l::peer_timeout),
        limit_ms("connect_timeout_ms", &l::connect_timeout),
        limit_ms("connect_backoff_ms", &l::connect_backoff),
        limit_ms("cancel_grace_ms", &l::cancel_grace),
        limit_ms("ejection_ms", &l::ejection),
        limit_count("ejection_failures", &l::ejection_failures),
        limit_count("max_owners", &l::max_owners),
        limit_count("queue_depth_per_slot", &l::queue_depth_per_slot),
        limit_real("hedge_quantile", &l::hedge_quantile),
        limit_real("retry_budget_ratio", &l::retry_budget_ratio),
        limit_real("retry_budget_burst", &l::retry_budget_burst),
        limit_count("max_attempts_per_shard", &l::max_attempts_per_shard),
        limit_count("max_runs", &l::max_runs),
        limit_ms("fingerprint_ban_ms", &l::fingerprint_ban),
        limit_ms("claim_retry_ms", &l::claim_retry),
        limit_count("claims_per_write", &l::claims_per_write),
        limit_count("max_claims_per_bucket", &l::max_claims_per_bucket),
        limit_ms("drain_quiet_ms", &l::drain_quiet)};
}

auto service_keys() -> std::vector<ini_key<service_info>>
{
    using s = service_info;
    auto const ms = [](milliseconds& out)
    {
        return [&out](std::string const& t)
        {
            auto n = std::uint32_t{};
            auto const good = read_positive(t, n);
            out = milliseconds{n};
            return good;
        };
    };
    auto const count = "a whole number above 0";
    return {{"epoch", count,
                [](auto const& t, s& o)
                {
                    return read_positive(t, o.epoch);
                }},
        {"shards", count,
            [](auto const& t, s& o) { return read_positive(t, o.shards); },
            true},
        {"deadline_ms", "milliseconds, above 0",
            [ms](auto const& t, s& o)
            {
                return ms(o.deadline)(t);
            }},
        {"slots", count,
            [](auto const& t, s& o)
            {
                return read_positive(t, o.limits.slots);
            }},
        {"connections", count,
            [](auto const& t, s& o)
            {
                return read_positive(t, o.limits.connections);
            }},
        {"cold_concurrency", count,
            [](auto const& t, s& o)
            {
                return read_positive(t, o.limits.cold_concurrency);
            }},
        {"warmup_ms", "milliseconds, above 0",
            [ms](auto const& t, s& o)
            {
                return ms(o.limits.warmup)(t);
            }}};
}

auto target_keys() -> std::vector<ini_key<target_info>>
{
    using t = target_info;
    return {{"address", "an IP number and port",
                [](auto const& v, t& o) { return read_address(v, o.address); },
                true},
        {"zone", "an availability zone",
            [](auto const& v, t& o) { return read_text(v, o.zone); }, true},
        {"version", "a back-end version",
            [](auto const& v, t& o)
            {
                return read_text(v, o.version);
            }},
        {"shard", "a shard number, from 0",
            [](auto const& v, t& o) { return read_u32(v, o.shard.value); },
            true}};
}

auto read_steps(std::string const& text, std::vector<std::uint32_t>& out)
    -> bool
{
    auto in = std::istringstream{text};
    auto last = std::uint32_t{0};
    for (auto part = std::string{}; std::getline(in, part, ',');)
    {
        auto n = std::uint32_t{};
        if (!read_positive(part, n) || n <= last || n >= 100)
            return false;
        out.push_back(n);
        last = n;
    }
    return !out.empty();
}

auto rollout_keys() -> std::vector<ini_key<rollout_policy>>
{
    using r = rollout_policy;
    return {
        {"id", "a whole number above 0, higher than any before",
            [](auto const& t, r& o) { return read_positive(t, o.id); }, true},
        {"from", "the version that serves now",
            [](auto const& t, r& o) { return read_text(t, o.from); }, true},
        {"to", "the version that is to serve",
            [](auto const& t, r& o) { return read_text(t, o.to); }, true},
        {"steps_percent", "rising shares below 100, as 1,10,50",
            [](auto const& t, r& o) { return read_steps(t, o.steps_percent); },
            true},
        {"duration_ms", "milliseconds, above 0",
            [](auto const& t, r& o)
            {
                auto n = std::uint32_t{};
                auto const good = read_positive(t, n);
                o.duration = milliseconds{n};
                return good;
            },
            true},
        {"max_failure_ratio", "a number from 0 to 1",
            [](auto const& t, r& o)
            {
                return read_double(t, o.max_failure_ratio) &&
                       o.max_failure_ratio >= 0 && o.max_failure_ratio <= 1;
            }},
        {"max_latency_ratio", "a number of at least 1",
            [](auto const& t, r& o)
            {
                return read_double(t, o.max_latency_ratio) &&
                       o.max_latency_ratio >= 1;
            }},
        {"min_samples", "a whole number above 0",
            [](auto const& t, r& o)
            {
                return read_positive(t, o.min_samples);
            }}};
}

auto customer_keys() -> std::vector<ini_key<customer_config>>
{
    using c = customer_config;
    return {{"name", "a name",
                [](auto const& t, c& o) { return read_text(t, o.name); }, true},
        {"max_queries", "a whole number above 0",
            [](auto const& t, c& o)
            {
                return read_positive(t, o.max_queries);
            }}};
}

auto objective_keys() -> std::vector<ini_key<service_objectives>>
{
    using o = service_objectives;
    auto const share = [](std::string_view name,
                           double o::*member) -> ini_key<o>
    {
        return {name, "a share from 0 to below 1",
            [member](auto const& t, o& out)
            {
                auto& it = out.*member;
                return read_double(t, it) && it >= 0 && it < 1;
            }};
    };
    return {{"latency_ms", "milliseconds, above 0",
                [](auto const& t, o& out)
                {
                    auto n = std::uint32_t{};
                    auto const good = read_positive(t, n);
                    out.latency = milliseconds{n};
                    return good;
                }},
        share("latency_target", &o::latency_target),
        share("coverage_target", &o::coverage_target),
        share("availability_target", &o::availability_target),
        share("bookings_target", &o::bookings_target)};
}

/// Reads `[zone NAME]`.
auto read_zone(ini_file const& file, ini_section const& section,
    std::string const& name, customer_config& out,
    std::vector<ini_error>& errors) -> void
{
    auto is_out = false;
    auto const keys = std::vector<ini_key<bool>>{{"state", "in or out",
        [](auto const& t, bool& o)
        {
            o = t == "out";
            return t == "in" || t == "out";
        },
        true}};
    fill(file, section, keys, is_out, errors);
    if (is_out)
        out.zones_out.push_back(name);
}

/// Reads `[target SERVICE NAME]`.
auto read_target(ini_file const& file, ini_section const& section,
    std::string const& rest, customer_config& out,
    std::vector<ini_error>& errors) -> void
{
    auto const space = rest.find(' ');
    auto const service = rest.substr(0, space);
    auto it = target_info{};
    it.name =
        space == std::string::npos ? std::string{} : rest.substr(space + 1);
    fill(file, section, target_keys(), it, errors);
    auto const found = std::find_if(out.services.begin(), out.services.end(),
        [&](service_info const& s) { return s.name == service; });
    if (it.name.empty() || found == out.services.end())
        errors.push_back({file.path, section.line, section.name, "",
            "[target SERVICE NAME] after [service SERVICE]"});
    else if (it.shard.value >= found->shards)
        errors.push_back({file.path, section.line, section.name, "shard",
            "a shard below " + std::to_string(found->shards)});
    else
        found->targets.push_back(it);
}

/// Reads `[rollout SERVICE]`.
auto read_rollout(ini_file const& file, ini_section const& section,
    std::string const& service, customer_config& out,
    std::vector<ini_error>& errors) -> void
{
    auto const found = std::find_if(out.services.begin(), out.services.end(),
        [&](service_info const& s) { return s.name == service; });
    if (found == out.services.end())
    {
        errors.push_back({file.path, section.line, section.name, "",
            "[rollout SERVICE] after [service SERVICE]"});
        return;
    }
    auto& r = found->rollout;
    fill(file, section, rollout_keys(), r, errors);
    auto const has = [&](std::string const& version)
    {
        return std::any_of(found->targets.begin(), found->targets.end(),
            [&](target_info const& t) { return t.version == version; });
    };
    if (r.from == r.to || !has(r.from) || !has(r.to))
        errors.push_back({file.path, section.line, section.name, "to",
            "two versions that targets above have"});
}

auto check_customer(ini_file const& file, customer_config const& c,
    std::vector<ini_error>& errors) -> void
{
    if (c.name.empty())
        errors.push_back({file.path, 0, "customer", "name", "a name"});
    for (auto const& s : c.services)
        for (std::uint32_t i = 0; i < s.shards; ++i)
        {
            auto const has = std::any_of(s.targets.begin(), s.targets.end(),
                [&](target_info const& t) { return t.shard.value == i; });
            if (!has)
                errors.push_back({file.path, 0, "service " + s.name, "shards",
                    "a target for shard " + std::to_string(i)});
        }
}

auto read_service(ini_file const& file, ini_section const& section,
    std::string const& name, customer_config& out,
    std::vector<ini_error>& errors) -> void
{
    auto it = service_info{};
    it.name = name;
    fill(file, section, service_keys(), it, errors);
    out.services.push_back(it);
}

} // namespace

auto parse_settings(std::string const& path, std::string const& text)
    -> leaf::result<instance_settings>
{
    BOOST_LEAF_AUTO(file, parse_ini(path, text));
    auto out = instance_settings{};
    auto errors = std::vector<ini_error>{};
    auto tables = std::map<std::string, std::vector<settings_key>>{
        {"instance", instance_keys()}, {"limits", limit_keys()},
        {"policy", policy_keys()}};
    auto has_instance = false;
    for (auto const& section : file.sections)
    {
        auto const it = tables.find(section.name);
        has_instance = has_instance || section.name == "instance";
        if (it == tables.end())
            errors.push_back({path, section.line, section.name, "",
                "[instance], [limits] or [policy]"});
        else
            fill(file, section, it->second, out, errors);
    }
    if (!has_instance)
        errors.push_back({path, 0, "instance", "", "this section"});
    if (!errors.empty())
        return leaf::new_error(ini_errors{errors});
    return out;
}

auto parse_template(std::string const& path, std::string const& text)
    -> leaf::result<customer_config>
{
    BOOST_LEAF_AUTO(file, parse_ini(path, text));
    auto out = customer_config{};
    auto errors = std::vector<ini_error>{};
    for (auto const& section : file.sections)
    {
        auto const space = section.name.find(' ');
        auto const kind = section.name.substr(0, space);
        auto const rest = space == std::string::npos
                              ? std::string{}
                              : section.name.substr(space + 1);
        if (section.name == "customer")
            fill(file, section, customer_keys(), out, errors);
        else if (section.name == "objectives")
            fill(file, section, objective_keys(), out.objectives, errors);
        else if (kind == "service" && !rest.empty())
            read_service(file, section, rest, out, errors);
        else if (kind == "target" && !rest.empty())
            read_target(file, section, rest, out, errors);
        else if (kind == "rollout" && !rest.empty())
            read_rollout(file, section, rest, out, errors);
        else if (kind == "zone" && !rest.empty())
            read_zone(file, section, rest, out, errors);
        else
            errors.push_back({path, section.line, section.name, "",
                "[customer], [objectives], [service NAME], [target SERVICE "
                "NAME], "
                "[rollout SERVICE] or [zone NAME]"});
    }
    check_customer(file, out, errors);
    if (!errors.empty())
        return leaf::new_error(ini_errors{errors});
    return out;
}

} // namespace knapweedstream
