#include "adapter/ini.hpp"
#include "adapter/settings.hpp"

#include <algorithm>
#include <sstream>

namespace knapweedstream
{

namespace
{

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
    auto const count = "a positive integer";
    return {{"epoch", count,
                [](auto const& t, s& o)
                {
                    return read_positive(t, o.epoch);
                }},
        {"shards", count,
            [](auto const& t, s& o) { return read_positive(t, o.shards); },
            true},
        {"deadline_ms", "a positive integer, in milliseconds",
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
        {"warmup_ms", "a positive integer, in milliseconds",
            [ms](auto const& t, s& o)
            {
                return ms(o.limits.warmup)(t);
            }}};
}

auto target_keys() -> std::vector<ini_key<target_info>>
{
    using t = target_info;
    return {{"address", "an IPv4 address and port, such as 127.0.0.1:8080",
                [](auto const& v, t& o) { return read_address(v, o.address); },
                true},
        {"zone", "an availability zone",
            [](auto const& v, t& o) { return read_text(v, o.zone); }, true},
        {"version", "a version of the target's software",
            [](auto const& v, t& o)
            {
                return read_text(v, o.version);
            }},
        {"shard", "a shard number, starting at 0",
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
        {"id", "a positive integer greater than the id of any earlier rollout",
            [](auto const& t, r& o) { return read_positive(t, o.id); }, true},
        {"from", "the version that is replaced",
            [](auto const& t, r& o) { return read_text(t, o.from); }, true},
        {"to", "the version that replaces it",
            [](auto const& t, r& o) { return read_text(t, o.to); }, true},
        {"steps_percent", "increasing percentages below 100, such as 1,10,50",
            [](auto const& t, r& o) { return read_steps(t, o.steps_percent); },
            true},
        {"duration_ms", "a positive integer, in milliseconds",
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
        {"max_latency_ratio", "a number not below 1",
            [](auto const& t, r& o)
            {
                return read_double(t, o.max_latency_ratio) &&
                       o.max_latency_ratio >= 1;
            }},
        {"min_samples", "a positive integer",
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
        {"max_queries", "a positive integer",
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
        return {name, "a number from 0 to below 1",
            [member](auto const& t, o& out)
            {
                auto& it = out.*member;
                return read_double(t, it) && it >= 0 && it < 1;
            }};
    };
    return {{"latency_ms", "a positive integer, in milliseconds",
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

/// Reads `[zone NAME]`; with `state = out` the targets of the zone are not
/// used.
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
    read_section(file, section, keys, is_out, errors);
    if (is_out)
        out.zones_out.push_back(name);
}

/// Reads `[target SERVICE NAME]`. The service must be declared above it.
auto read_target(ini_file const& file, ini_section const& section,
    std::string const& rest, customer_config& out,
    std::vector<ini_error>& errors) -> void
{
    auto const space = rest.find(' ');
    auto const service = rest.substr(0, space);
    auto it = target_info{};
    it.name =
        space == std::string::npos ? std::string{} : rest.substr(space + 1);
    read_section(file, section, target_keys(), it, errors);
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

/// Reads `[rollout SERVICE]`. The service and the targets of both versions must
/// be declared above it.
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
    read_section(file, section, rollout_keys(), r, errors);
    auto const has = [&](std::string const& version)
    {
        return std::any_of(found->targets.begin(), found->targets.end(),
            [&](target_info const& t) { return t.version == version; });
    };
    if (r.from == r.to || !has(r.from) || !has(r.to))
        errors.push_back({file.path, section.line, section.name, "to",
            "two different versions, each of a target declared above"});
}

auto is_zone_out(customer_config const& c, std::string const& zone) -> bool
{
    return std::find(c.zones_out.begin(), c.zones_out.end(), zone) !=
           c.zones_out.end();
}

/// Checks that the customer has a name and that each shard has a target in a
/// zone whose state is not `out`.
auto check_customer(ini_file const& file, customer_config const& c,
    std::vector<ini_error>& errors) -> void
{
    if (c.name.empty())
        errors.push_back({file.path, 0, "customer", "name", "a name"});
    for (auto const& s : c.services)
        for (std::uint32_t i = 0; i < s.shards; ++i)
        {
            auto has = false;
            auto has_active = false;
            for (auto const& t : s.targets)
            {
                auto const here = t.shard.value == i;
                has = has || here;
                has_active = has_active || (here && !is_zone_out(c, t.zone));
            }
            auto const shard = "shard " + std::to_string(i);
            if (!has)
                errors.push_back({file.path, 0, "service " + s.name, "shards",
                    "a target for " + shard});
            else if (!has_active)
                errors.push_back({file.path, 0, "service " + s.name, "shards",
                    "a target in a zone that is not out, for " + shard});
        }
}

/// Reads `[service NAME]`.
auto read_service(ini_file const& file, ini_section const& section,
    std::string const& name, customer_config& out,
    std::vector<ini_error>& errors) -> void
{
    auto it = service_info{};
    it.name = name;
    read_section(file, section, service_keys(), it, errors);
    out.services.push_back(it);
}

} // namespace

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
            read_section(file, section, customer_keys(), out, errors);
        else if (section.name == "objectives")
            read_section(
                file, section, objective_keys(), out.objectives, errors);
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
