#include "adapter/settings.hpp"

#include "adapter/ini.hpp"

#include <map>

namespace knapweedstream
{

namespace
{

using settings_key = ini_key<instance_settings>;

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
    auto const address = "an IPv4 address and port, such as 127.0.0.1:8080";
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
        {"record_path", "a file path",
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
    return {name, "a positive integer",
        [member](auto const& t, instance_settings& o)
        {
            return read_positive(t, o.limits.*member);
        }};
}

auto limit_ms(std::string_view name, milliseconds node_limits::*member)
    -> settings_key
{
    return {name, "a positive integer, in milliseconds",
        [member](auto const& t, instance_settings& o)
        {
            auto n = std::uint32_t{};
            auto const good = read_positive(t, n);
            o.limits.*member = milliseconds{n};
            return good;
        }};
}

auto limit_double(std::string_view name, double node_limits::*member)
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
        limit_double("hedge_quantile", &l::hedge_quantile),
        limit_double("retry_budget_ratio", &l::retry_budget_ratio),
        limit_double("retry_budget_burst", &l::retry_budget_burst),
        limit_count("max_attempts_per_shard", &l::max_attempts_per_shard),
        limit_count("max_runs", &l::max_runs),
        limit_ms("fingerprint_ban_ms", &l::fingerprint_ban),
        limit_ms("claim_retry_ms", &l::claim_retry),
        limit_ms("claim_margin_ms", &l::claim_margin),
        limit_count("claims_per_write", &l::claims_per_write),
        limit_count("max_claims_per_bucket", &l::max_claims_per_bucket),
        limit_ms("drain_quiet_ms", &l::drain_quiet)};
}

} // namespace

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
            read_section(file, section, it->second, out, errors);
    }
    if (!has_instance)
        errors.push_back({path, 0, "instance", "", "this section to exist"});
    if (!errors.empty())
        return leaf::new_error(ini_errors{errors});
    return out;
}

} // namespace knapweedstream
