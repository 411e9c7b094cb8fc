#include "adapter/dispatch_log.hpp"

#include "adapter/log.hpp"

#include <knapweedstream/overloaded.hpp>

#include <array>
#include <cstdio>

namespace knapweedstream
{

namespace
{

/// Name of an enumerator; `names` are in the order of the enumerators.
template <class Enum, std::size_t N>
auto enum_name(std::array<char const*, N> const& names, Enum it) -> char const*
{
    return names.at(static_cast<std::size_t>(it));
}

auto name_of(dispatch::attempt_kind it) -> char const*
{
    return enum_name(
        std::array{"first", "hedge", "rescue", "retry", "probe"}, it);
}

auto name_of(dispatch::attempt_end it) -> char const*
{
    return enum_name(
        std::array{"success", "failure", "overloaded", "wrong_target",
            "unusable", "lost", "unsent", "turned_away", "abandoned"},
        it);
}

auto name_of(dispatch::request_end it) -> char const*
{
    return enum_name(
        std::array{"complete", "partial", "refused", "failed", "abandoned"},
        it);
}

auto name_of(dispatch::target_condition it) -> char const*
{
    return enum_name(
        std::array{"registered", "changed", "draining", "gone", "displaced",
            "slow", "stalled", "failing", "down", "recovered", "limited",
            "unlimited", "paused", "leaving"},
        it);
}

auto name_of(store_failure it) -> char const*
{
    return enum_name(std::array{"unreachable", "silent", "busy", "unreadable",
                         "conflict", "missing"},
        it);
}

/// A duration in milliseconds with one decimal, rounded down.
auto ms(duration d) -> std::string
{
    constexpr auto tenths_us = 100;
    auto const tenths = d.count() / tenths_us;
    auto text = std::to_string(tenths / 10);
    text += '.';
    text += static_cast<char>('0' + tenths % 10);
    return text;
}

/// A number with two decimals.
auto decimal(double v) -> std::string
{
    char buf[32];
    auto const n = std::snprintf(buf, sizeof buf, "%.2f", v);
    return {buf, static_cast<std::size_t>(n)};
}

/// Summaries of a request's parts, comma-separated, each as
/// service/target/milliseconds/requests sent. A target of `-` means none was
/// asked; a trailing `!` means that the part was not answered.
auto parts_text(std::vector<dispatch::part_summary> const& parts) -> std::string
{
    auto text = std::string{};
    for (auto const& p : parts)
    {
        text.append(text.empty() ? "" : ",").append(p.service).append("/");
        text.append(p.target.empty() ? "-" : p.target).append("/");
        text.append(ms(p.took)).append("/").append(std::to_string(p.sent));
        text.append(p.answered ? "" : "!");
    }
    return text;
}

auto line_of(dispatch::extra_sent const& it) -> std::string
{
    return "Extra request sent. id=" + it.request +
           " kind=" + name_of(it.kind) + " service=" + it.service +
           " target=" + it.target + " waited_ms=" + ms(it.waited) +
           " patience_ms=" + ms(it.hedge_delay) +
           " budget_left=" + decimal(it.budget) +
           " connection=" + std::to_string(it.connection.value);
}

auto line_of(dispatch::attempt_failed const& it) -> std::string
{
    return "Attempt failed. id=" + it.request + " how=" + name_of(it.how) +
           " service=" + it.service + " target=" + it.target +
           " status=" + std::to_string(it.status) +
           " after_ms=" + ms(it.after) +
           " connection=" + std::to_string(it.connection.value) +
           " connection_age_ms=" + ms(it.connection_age);
}

auto line_of(dispatch::budget_exhausted const& it) -> std::string
{
    return "Retry budget exhausted. id=" + it.request +
           " kind=" + name_of(it.kind) + " service=" + it.service;
}

auto line_of(dispatch::request_ended const& it) -> std::string
{
    auto text = std::string{"Request finished. id="} + it.request +
                " outcome=" + name_of(it.how) + " route=" + it.route +
                " config=" + std::to_string(it.config) +
                " elapsed_ms=" + ms(it.elapsed) +
                " deadline_ms=" + ms(it.deadline);
    if (it.status != 0)
        text += " status=" + std::to_string(it.status);
    if (!it.reason.empty())
        text += " reason=" + it.reason;
    if (it.retry_after > duration{0})
        text += " retry_after_ms=" + ms(it.retry_after);
    return text + " parts=" + parts_text(it.parts);
}

auto line_of(dispatch::target_condition_changed const& it) -> std::string
{
    return std::string{"Target "} + name_of(it.condition) +
           ". target=" + it.target + " service=" + it.service +
           " address=" + it.address +
           " revision=" + std::to_string(it.revision) + " " + it.details;
}

auto line_of(dispatch::config_applied const& it) -> std::string
{
    return "Configuration applied. version=" + std::to_string(it.version) +
           " revision=" + std::to_string(it.revision) +
           " routes=" + std::to_string(it.routes);
}

auto line_of(dispatch::config_ignored const& it) -> std::string
{
    return "Older configuration ignored. version=" +
           std::to_string(it.version) +
           " in_force=" + std::to_string(it.applied_version);
}

auto line_of(dispatch::object_skipped const& it) -> std::string
{
    return std::string{"Object skipped. kind="} + store_kind_name(it.kind) +
           " name=" + it.name + " reason=\"" + it.reason + "\"";
}

auto line_of(dispatch::store_availability_changed const& it) -> std::string
{
    return std::string{it.lost ? "Store access lost. kind="
                               : "Store access restored. kind="} +
           store_kind_name(it.kind) + (it.lost ? " why=" : "") +
           (it.lost ? name_of(it.failure) : "") +
           " revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::list_read const& it) -> std::string
{
    return std::string{"List read. kind="} + store_kind_name(it.kind) +
           " pages=" + std::to_string(it.pages) +
           " objects=" + std::to_string(it.objects) +
           " oldest=" + std::to_string(it.oldest) +
           " newest=" + std::to_string(it.newest);
}

auto line_of(dispatch::list_cut const& it) -> std::string
{
    return std::string{"List does not go on. kind="} +
           store_kind_name(it.kind) + " pages=" + std::to_string(it.pages) +
           " objects=" + std::to_string(it.objects) + " last=" + it.last;
}

auto line_of(dispatch::objects_outdated const& it) -> std::string
{
    return std::string{"Older objects ignored. kind="} +
           store_kind_name(it.kind) + " objects=" + std::to_string(it.objects) +
           " first=" + it.name + " revision=" + std::to_string(it.revision) +
           " known=" + std::to_string(it.known);
}

auto line_of(dispatch::store_restored const& it) -> std::string
{
    return "Store restored from an older copy. era=" + std::to_string(it.era) +
           " before=" + std::to_string(it.before) +
           " learned_from=" + it.learned_from +
           " revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::targets_known_late const& it) -> std::string
{
    return "First request between watches of targets. age_ms=" + ms(it.age) +
           " revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::watch_stalled const& it) -> std::string
{
    return std::string{"Watch missed changes. kind="} +
           store_kind_name(it.kind) + " revision=" + std::to_string(it.known) +
           " newest=" + std::to_string(it.newest) +
           " changes=" + std::to_string(it.changes);
}

auto line_of(dispatch::store_source_changed const& it) -> std::string
{
    return "Store followed " +
           (it.relay.empty() ? std::string{"directly."}
                             : "through a relay. relay=" + it.relay) +
           " reason=\"" + it.reason +
           "\" revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::rollout_progressed const& it) -> std::string
{
    return "Rollout updated. service=" + it.service + " version=" + it.version +
           " phase=" + it.phase + " revision=" + std::to_string(it.revision) +
           " " + it.details;
}

auto line_of(dispatch::crash_suspected const& it) -> std::string
{
    return "Target ended under a request. print=" + std::to_string(it.print) +
           " target=" + it.target +
           " started_ms=" + std::to_string(it.started_ms);
}

auto line_of(dispatch::statement_ignored const& it) -> std::string
{
    return "Statement of a target ignored. target=" + it.target +
           " service=" + it.service + " what=" + it.what;
}

auto line_of(dispatch::zone_changed const& it) -> std::string
{
    return std::string{it.evacuated ? "Zone evacuated. zone="
                                    : "Zone restored. zone="} +
           it.zone + " revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::readiness_changed const& it) -> std::string
{
    return std::string{it.ready ? "Ready. reason=\"" : "Not ready. reason=\""} +
           it.reason + "\"";
}

/// Component and severity of a log line.
struct log_category
{
    char const* component;
    log_level level = log_level::info;
};

auto category_of(dispatch::fact const& it) -> log_category
{
    return std::visit(
        overloaded{[](dispatch::request_ended const& e) -> log_category
            {
                auto const bad = e.how == dispatch::request_end::failed ||
                                 e.how == dispatch::request_end::refused;
                return {"request", bad ? log_level::warning : log_level::info};
            },
            [](dispatch::extra_sent const&) -> log_category
            { return {"request"}; },
            [](dispatch::attempt_failed const&) -> log_category {
                return {"request", log_level::warning};
            },
            [](dispatch::budget_exhausted const&) -> log_category {
                return {"request", log_level::warning};
            },
            [](dispatch::target_condition_changed const&) -> log_category
            { return {"target"}; },
            [](dispatch::config_applied const&) -> log_category
            { return {"config"}; },
            [](dispatch::config_ignored const&) -> log_category {
                return {"config", log_level::warning};
            },
            [](dispatch::object_skipped const&) -> log_category {
                return {"store", log_level::warning};
            },
            [](dispatch::objects_outdated const&) -> log_category {
                return {"store", log_level::warning};
            },
            [](dispatch::store_restored const&) -> log_category {
                return {"store", log_level::warning};
            },
            [](dispatch::store_availability_changed const& e) -> log_category {
                return {"store", e.lost ? log_level::warning : log_level::info};
            },
            [](dispatch::list_read const&) -> log_category
            { return {"store"}; },
            [](dispatch::list_cut const&) -> log_category {
                return {"store", log_level::warning};
            },
            [](dispatch::targets_known_late const&) -> log_category
            { return {"store"}; },
            [](dispatch::watch_stalled const&) -> log_category {
                return {"store", log_level::warning};
            },
            [](dispatch::store_source_changed const&) -> log_category
            { return {"store"}; },
            [](dispatch::rollout_progressed const&) -> log_category
            { return {"rollout"}; },
            [](dispatch::crash_suspected const&) -> log_category {
                return {"request", log_level::warning};
            },
            [](dispatch::statement_ignored const&) -> log_category {
                return {"target", log_level::warning};
            },
            [](dispatch::zone_changed const&) -> log_category
            { return {"config"}; },
            [](dispatch::readiness_changed const&) -> log_category
            {
                return {"node"};
            }},
        it);
}

} // namespace

auto store_kind_name(store_kind it) -> char const*
{
    return enum_name(std::array{"configuration", "targets", "evacuations",
                         "rollouts", "instances", "reports"},
        it);
}

auto log_fact(dispatch::fact const& it) -> void
{
    auto const category = category_of(it);
    log(category.level, category.component,
        std::visit([](auto const& e) { return line_of(e); }, it));
}

} // namespace knapweedstream
