#include "adapter/dispatch_settings.hpp"

#include "adapter/ini.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

using dispatch::dispatch_bounds;
using dispatch::dispatch_limits;
using key = ini_key<dispatch_settings>;

constexpr auto routes_front_end = "routes";
/// Largest number of a setting, whatever its unit; it fits into all types.
constexpr auto largest_number = 1e9;

auto address_key(std::string_view name, std::string dispatch_settings::*member,
    bool required) -> key
{
    return {name, "an IPv4 address and port, such as 127.0.0.1:8080",
        [member](auto const& t, dispatch_settings& o)
        { return read_address(t, o.*member); },
        required};
}

auto self_key(std::string_view name, std::string instance_record::*member)
    -> key
{
    return {name, "a name",
        [member](auto const& t, dispatch_settings& o)
        { return read_text(t, o.self.*member); },
        true};
}

auto instance_keys() -> std::vector<key>
{
    using s = dispatch_settings;
    return {{"front_end", routes_front_end,
                [](auto const& t, s&) { return t == routes_front_end; }, true},
        self_key("name", &instance_record::name),
        self_key("zone", &instance_record::zone),
        self_key("region", &instance_record::region),
        address_key("caller_address", &s::caller_address, true),
        address_key("ready_address", &s::ready_address, true),
        address_key("metrics_address", &s::metrics_address, false),
        address_key("platform_address", &s::platform_address, true),
        {"relay_address", "an IPv4 address and port, or nothing",
            [](auto const& t, s& o)
            {
                return t.empty() || read_address(t, o.self.relay_address);
            }},
        {"log_level", "debug, info, warning or error",
            [](auto const& t, s& o)
            {
                return read_level(t, o.level);
            }},
        {"log_lines_per_s", "a positive integer",
            [](auto const& t, s& o)
            {
                return read_positive(t, o.log_lines_per_s);
            }}};
}

/// Key of a number, rounded down if the setting is an integer or a time in
/// milliseconds. An empty value keeps the default.
template <class Part, class T>
auto number_key(std::string_view name, Part dispatch_settings::*part,
    T Part::*member) -> key
{
    return {name, "a non-negative number",
        [part, member](auto const& t, dispatch_settings& o)
        {
            auto n = 0.0;
            if (t.empty())
                return true;
            if (!read_double(t, n) || n < 0 || n > largest_number)
                return false;
            if constexpr (std::is_same_v<T, milliseconds>)
                o.*part.*member = milliseconds{static_cast<std::int64_t>(n)};
            else
                o.*part.*member = static_cast<T>(n);
            return true;
        }};
}

/// Key of a time that the file states in seconds. An empty value keeps the
/// default.
template <class Part>
auto seconds_key(std::string_view name, Part dispatch_settings::*part,
    milliseconds Part::*member) -> key
{
    return {name, "a positive number of seconds",
        [part, member](auto const& t, dispatch_settings& o)
        {
            auto n = 0.0;
            if (t.empty())
                return true;
            constexpr auto ms_per_s = 1'000.0;
            if (!read_double(t, n) || n <= 0 || n > largest_number)
                return false;
            o.*part.*member =
                milliseconds{static_cast<std::int64_t>(n * ms_per_s)};
            return true;
        }};
}

auto bound_keys() -> std::vector<key>
{
    using s = dispatch_settings;
    using b = dispatch_bounds;
    return {
        number_key("retry_budget_ratio", &s::bounds, &b::retry_budget_ratio),
        number_key("retry_budget_extra", &s::bounds, &b::retry_budget_extra),
        seconds_key("budget_window_s", &s::bounds, &b::budget_window),
        number_key("drain_ms", &s::bounds, &b::drain),
        number_key("config_apply_ms", &s::bounds, &b::config_apply),
        number_key("evacuate_ms", &s::bounds, &b::evacuate),
        seconds_key("grace_s", &s::bounds, &b::grace),
        number_key("warmup_factor", &s::bounds, &b::warmup_factor),
        number_key("warmup_slack", &s::bounds, &b::warmup_slack),
        number_key("exposure_share", &s::bounds, &b::exposure_share),
        number_key("exposure_slack", &s::bounds, &b::exposure_slack)};
}

auto limit_keys() -> std::vector<key>
{
    using s = dispatch_settings;
    using l = dispatch_limits;
    auto const of = [](std::string_view name, auto member)
    {
        return number_key(name, &s::limits, member);
    };
    return {of("answer_margin_ms", &l::answer_margin),
        of("max_requests", &l::max_requests),
        of("min_hedge_factor", &l::min_hedge_factor),
        of("max_hedge_factor", &l::max_hedge_factor),
        of("first_patience_ms", &l::initial_hedge_delay),
        of("far_penalty_ms", &l::far_penalty),
        of("loser_patience_ms", &l::abandoned_timeout),
        of("spare_sends", &l::spare_sends),
        of("connect_timeout_ms", &l::connect_timeout),
        of("reopen_first_ms", &l::reopen_first),
        of("reopen_most_ms", &l::reopen_most),
        of("failures_until_down", &l::failures_until_down),
        of("idle_margin_ms", &l::idle_margin),
        of("fresh_for_ms", &l::fresh_for),
        of("turned_away_within_ms", &l::turned_away_within),
        of("turned_away_slack_ms", &l::turned_away_slack),
        of("connection_share", &l::min_connection_share),
        of("most_connection_share", &l::max_connection_share),
        of("ahead_near", &l::preconnect_near),
        of("ahead_far", &l::preconnect_far),
        of("borrowed_for_ms", &l::borrowed_for),
        of("late_in_a_row", &l::overdue_until_suspended),
        of("suspension_first_ms", &l::suspension_first),
        of("suspension_most_ms", &l::suspension_most),
        of("estimate_half_life_ms", &l::estimate_half_life),
        of("lapse_grace_ms", &l::lapse_grace),
        of("watch_wait_ms", &l::watch_wait),
        of("watch_pause_ms", &l::watch_pause),
        of("targets_pause_ms", &l::targets_pause),
        of("targets_idle_pause_ms", &l::targets_idle_pause),
        of("relay_pause_ms", &l::relay_pause),
        of("poll_first_ms", &l::poll_first), of("poll_most_ms", &l::poll_most),
        of("store_retry_first_ms", &l::store_retry_first),
        of("store_retry_most_ms", &l::store_retry_most),
        of("store_retry_known_ms", &l::store_retry_known),
        of("watch_check_ms", &l::watch_check)};
}

/// Reads `[zones]`, which maps each availability zone to its region.
auto read_regions(ini_section const& section, dispatch_settings& out) -> void
{
    for (auto const& it : section.values)
        out.regions[it.key] = it.value;
}

auto parse_dispatch_settings(ini_file const& file)
    -> leaf::result<dispatch_settings>
{
    auto out = dispatch_settings{};
    auto errors = std::vector<ini_error>{};
    auto const tables =
        std::map<std::string, std::vector<key>>{{"instance", instance_keys()},
            {"bounds", bound_keys()}, {"limits", limit_keys()}};
    for (auto const& section : file.sections)
    {
        auto const it = tables.find(section.name);
        if (section.name == "zones")
            read_regions(section, out);
        else if (it == tables.end())
            errors.push_back({file.path, section.line, section.name, "",
                "[instance], [zones], [bounds] or [limits]"});
        else
            read_section(file, section, it->second, out, errors);
    }
    if (!errors.empty())
        return leaf::new_error(ini_errors{errors});
    return out;
}

/// True if the file selects the front end that dispatches by routes.
auto selects_routes(ini_file const& file) -> bool
{
    for (auto const& section : file.sections)
        for (auto const& it : section.values)
            if (section.name == "instance" && it.key == "front_end")
                return it.value == routes_front_end;
    return false;
}

} // namespace

auto parse_any_settings(std::string const& path, std::string const& text)
    -> leaf::result<any_settings>
{
    BOOST_LEAF_AUTO(file, parse_ini(path, text));
    if (!selects_routes(file))
    {
        BOOST_LEAF_AUTO(s, parse_settings(path, text));
        return any_settings{std::move(s)};
    }
    BOOST_LEAF_AUTO(s, parse_dispatch_settings(file));
    return any_settings{std::move(s)};
}

} // namespace knapweedstream
